package sql

import "strings"

// Volatility tells what a call of a function may do.
type Volatility uint8

// The volatilities, strongest first. The zero value is that of an unknown function, which may write.
const (
	MayWrite     Volatility = iota // may write, or do something that may run on only one server
	SessionBound                   // changes or reads the state of its session
	ReadOnly                       // at most reads
)

// Catalogue holds what is known of functions, types and relations, by name.
type Catalogue struct {
	functions        map[string]Volatility // by folded name, with the schema if it was given with one
	types            map[string]bool
	writingRelations map[string]bool // relations whose reads may write: foreign tables, views that call functions
}

// NewCatalogue returns a catalogue of the functions and types that are built into PostgreSQL.
func NewCatalogue() *Catalogue {
	c := &Catalogue{functions: map[string]Volatility{}, types: map[string]bool{}, writingRelations: map[string]bool{}}
	for _, name := range strings.Fields(readOnlyFunctions) {
		c.functions[name] = ReadOnly
	}
	for _, name := range strings.Fields(sessionFunctions) {
		c.functions[name] = SessionBound
	}
	for _, name := range strings.Fields(builtinTypes) {
		c.types[name] = true
	}
	return c
}

// SetFunction adds a user-defined function, or overrides the volatility of a built-in one.
func (c *Catalogue) SetFunction(name string, v Volatility) { c.functions[name] = v }

// AddType adds a type whose input function doesn't write.
func (c *Catalogue) AddType(name string) { c.types[name] = true }

// AddWritingRelation marks a relation that writes when it is read.
func (c *Catalogue) AddWritingRelation(name string) { c.writingRelations[name] = true }

// functionVolatility returns the volatility of a function. A name with a schema other than pg_catalog is a different
// function from the built-in one.
func (c *Catalogue) functionVolatility(name string) Volatility {
	if v, known := c.functions[name]; known {
		return v
	}
	if own, ok := strings.CutPrefix(name, "pg_catalog."); ok {
		return c.functions[own]
	}
	return MayWrite
}

func (c *Catalogue) knownType(name string) bool {
	return c.types[name] || c.types[strings.TrimPrefix(name, "pg_catalog.")]
}

// readOnlyFunctions are built-in functions of PostgreSQL that only compute or read, from chapter 9 of its manual.
// Volatile functions are included if running them on any server is harmless (random, clock_timestamp). Excluded on
// purpose, besides functions that write, are those that run a query passed as a string (query_to_xml, ts_stat,
// ts_rewrite), read files, act on other sessions, wait (pg_sleep), or fail on a standby.
const readOnlyFunctions = `
abs cbrt ceil ceiling degrees div erf erfc exp factorial floor gamma gcd lcm lgamma ln log log10 min_scale mod pi power
radians round scale sign sqrt trim_scale trunc width_bucket random random_normal acos acosd asin asind atan atand atan2
atan2d cos cosd cot cotd sin sind tan tand sinh cosh tanh asinh acosh atanh
ascii bit_count bit_length btrim casefold char_length character_length chr concat concat_ws convert convert_from convert_to
crc32 crc32c decode encode format get_bit get_byte initcap left length lower lpad ltrim md5 normalize octet_length overlay
parse_ident position quote_ident quote_literal quote_nullable regexp_count regexp_instr regexp_like regexp_match
regexp_matches regexp_replace regexp_split_to_array regexp_split_to_table regexp_substr repeat replace reverse right rpad
rtrim set_bit set_byte sha224 sha256 sha384 sha512 split_part starts_with string_to_array string_to_table strpos substr
substring to_ascii to_bin to_hex to_oct translate trim unicode_assigned unicode_version unistr upper is_normalized
to_char to_date to_number to_timestamp age clock_timestamp current_date date_add date_bin date_part date_subtract
date_trunc extract isfinite justify_days justify_hours justify_interval localtime localtimestamp make_date make_interval
make_time make_timestamp make_timestamptz now statement_timestamp timeofday timezone transaction_timestamp
current_time current_timestamp
enum_first enum_last enum_range area center diagonal diameter height isclosed isopen npoints pclose popen radius slope
width box circle line lseg path point polygon bound_box
abbrev broadcast family host hostmask inet_merge inet_same_family masklen netmask network set_masklen text macaddr8_set7bit
array_to_tsvector get_current_ts_config numnode phraseto_tsquery plainto_tsquery querytree setweight strip to_tsquery
to_tsvector ts_delete ts_filter ts_headline ts_rank ts_rank_cd tsquery_phrase tsvector_to_array unnest
websearch_to_tsquery ts_debug ts_lexize ts_parse ts_token_type json_to_tsvector jsonb_to_tsvector
gen_random_uuid uuidv4 uuidv7 uuid_extract_timestamp uuid_extract_version
xmlcomment xmlconcat xmlelement xmlforest xmlpi xmlroot xmlagg xmlexists xml_is_well_formed xml_is_well_formed_content
xml_is_well_formed_document xpath xpath_exists xmltext xmlparse xmlserialize xmltable
array_to_json json_array json_arrayagg json_array_elements json_array_elements_text json_array_length json_build_array
json_build_object json_each json_each_text json_exists json_extract_path json_extract_path_text json_object
json_object_agg json_object_agg_strict json_object_agg_unique json_object_agg_unique_strict json_objectagg
json_object_keys json_populate_record json_populate_recordset json_query json_scalar json_serialize json_strip_nulls
json_table json_to_record json_to_recordset json_typeof json_value json_agg json_agg_strict row_to_json to_json to_jsonb
jsonb_agg jsonb_agg_strict jsonb_array_elements jsonb_array_elements_text jsonb_array_length jsonb_build_array
jsonb_build_object jsonb_each jsonb_each_text jsonb_extract_path jsonb_extract_path_text jsonb_insert jsonb_object
jsonb_object_agg jsonb_object_agg_strict jsonb_object_agg_unique jsonb_object_agg_unique_strict jsonb_object_keys
jsonb_path_exists jsonb_path_exists_tz jsonb_path_match jsonb_path_match_tz jsonb_path_query jsonb_path_query_array
jsonb_path_query_array_tz jsonb_path_query_first jsonb_path_query_first_tz jsonb_path_query_tz jsonb_populate_record
jsonb_populate_record_valid jsonb_populate_recordset jsonb_pretty jsonb_set jsonb_set_lax jsonb_strip_nulls
jsonb_to_record jsonb_to_recordset jsonb_typeof
coalesce nullif greatest least num_nonnulls num_nulls
array_append array_cat array_dims array_fill array_length array_lower array_ndims array_position array_positions
array_prepend array_remove array_replace array_reverse array_sample array_shuffle array_sort array_to_string array_upper
cardinality trim_array
int4range int8range numrange tsrange tstzrange daterange int4multirange int8multirange nummultirange tsmultirange
tstzmultirange datemultirange isempty lower_inc lower_inf upper_inc upper_inf range_merge multirange
any_value array_agg avg bit_and bit_or bit_xor bool_and bool_or count every max min range_agg range_intersect_agg
string_agg sum corr covar_pop covar_samp regr_avgx regr_avgy regr_count regr_intercept regr_r2 regr_slope regr_sxx regr_sxy
regr_syy stddev stddev_pop stddev_samp variance var_pop var_samp mode percentile_cont percentile_disc grouping
row_number rank dense_rank percent_rank cume_dist ntile lag lead first_value last_value nth_value
generate_series generate_subscripts
current_catalog current_database current_query current_role current_schema current_schemas current_user session_user
system_user user inet_client_addr inet_client_port inet_server_addr inet_server_port pg_backend_pid pg_blocking_pids
pg_conf_load_time pg_jit_available pg_my_temp_schema pg_is_other_temp_schema pg_notification_queue_usage
pg_postmaster_start_time pg_safe_snapshot_blocking_pids pg_trigger_depth version
has_any_column_privilege has_column_privilege has_database_privilege has_foreign_data_wrapper_privilege
has_function_privilege has_language_privilege has_parameter_privilege has_schema_privilege has_sequence_privilege
has_server_privilege has_table_privilege has_tablespace_privilege has_type_privilege pg_has_role row_security_active
pg_collation_is_visible pg_function_is_visible pg_opclass_is_visible pg_operator_is_visible pg_table_is_visible
pg_type_is_visible pg_ts_config_is_visible
format_type pg_char_to_encoding pg_encoding_to_char pg_get_catalog_foreign_keys pg_get_constraintdef pg_get_expr
pg_get_functiondef pg_get_function_arguments pg_get_function_identity_arguments pg_get_function_result pg_get_indexdef
pg_get_keywords pg_get_partkeydef pg_get_ruledef pg_get_serial_sequence pg_get_statisticsobjdef pg_get_triggerdef
pg_get_userbyid pg_get_viewdef pg_index_column_has_property pg_index_has_property pg_indexam_has_property
pg_options_to_table pg_settings_get_flags pg_tablespace_databases pg_tablespace_location pg_typeof to_regclass
to_regcollation to_regnamespace to_regoper to_regoperator to_regproc to_regprocedure to_regrole to_regtype
col_description obj_description shobj_description pg_describe_object pg_identify_object
pg_input_is_valid pg_input_error_info current_setting
pg_column_size pg_column_compression pg_database_size pg_indexes_size pg_relation_size pg_size_bytes pg_size_pretty
pg_table_size pg_tablespace_size pg_total_relation_size pg_relation_filenode pg_relation_filepath
pg_partition_tree pg_partition_ancestors pg_partition_root
pg_is_in_recovery pg_last_wal_receive_lsn pg_last_wal_replay_lsn pg_last_xact_replay_timestamp pg_wal_lsn_diff
`

// sessionFunctions are built-in functions that change the session, or whose result depends on it.
const sessionFunctions = `
set_config setseed currval lastval pg_advisory_lock pg_advisory_lock_shared pg_advisory_unlock pg_advisory_unlock_all
pg_advisory_unlock_shared pg_advisory_xact_lock pg_advisory_xact_lock_shared pg_try_advisory_lock
pg_try_advisory_lock_shared pg_try_advisory_xact_lock pg_try_advisory_xact_lock_shared pg_listening_channels
`

// builtinTypes are built-in types: converting a string to one of them runs no user-defined function.
const builtinTypes = `
bigint bigserial bit bool boolean box bytea bpchar char character cidr circle date datemultirange daterange dec decimal
double float float4 float8 inet int int2 int4 int4multirange int4range int8 int8multirange int8range integer interval json
jsonb jsonpath line lseg macaddr macaddr8 money name national nchar numeric nummultirange numrange oid path pg_lsn
pg_snapshot point polygon precision real record regclass regcollation regconfig regdictionary regnamespace regoper
regoperator regproc regprocedure regrole regtype smallint text time timestamp timestamptz timetz tsmultirange tsquery tsrange
tstzmultirange tstzrange tsvector uuid varbit varchar xid xid8 xml varying refcursor unknown void
`

// builtinOperators are built-in operators; any other may run a user-defined function.
var builtinOperators = func() map[string]bool {
	all := map[string]bool{}
	for _, operator := range strings.Fields(`+ - * / % ^ |/ ||/ @ & | # ~ << >> < > = <= >= <> != || ~* !~ !~* ~~ ~~* !~~ !~~* ^@ ~<~ ~<=~ ~>=~ ~>~
		:: := .. -> ->> #> #>> @> <@ ? ?| ?& #- @? @@ @@@ && &< &> -|- <<| |>> &<| |&> <^ >^ ?# ?- ?-| ?|| ~= ## <-> <=> @-@ !! <<= >>= *= !! <% %>`) {
		all[operator] = true
	}
	return all
}()
