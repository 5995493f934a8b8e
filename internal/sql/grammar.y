// The grammar of statements, as far as routing needs it. Clauses, brackets, queries within queries and the parts that
// write are told apart; what stands within a clause is kept as a row of atoms, which classify.go reads. It takes more than
// servers do: what a server refuses harms nobody. What it does not take is a write (classify.go).
%{
package sql
%}

%union {
	tok  Token
	list list
	node int32
}

%token <tok> WORD LITERAL OPERATOR
%token <tok> SELECT VALUES TABLE WITH INSERT UPDATE DELETE MERGE
%token <tok> INTO FROM WHERE GROUP HAVING WINDOW
%token <tok> ORDER LIMIT OFFSET FETCH FOR
%token <tok> SETOP
%token <tok> '(' ')' '[' ']' ',' ';' '.' ':'

%type <list> text soup loose any clauses tails rest
%type <node> statement query dml body part clause tail atom latom xatom inner front
%type <tok>  plain clauseword tailword dmlword

%start text

%%

text:
	statement            { $$ = yylex.(*parse).begin($1); yylex.(*parse).all = $$ }
|	text ';' statement   { $$ = yylex.(*parse).add($1, $3); yylex.(*parse).all = $$ }

statement:
	/* nothing */        { $$ = yylex.(*parse).node(nNothing, Token{}, list{}) }
|	query
|	dml
|	WITH soup dml        { $$ = yylex.(*parse).with($1, $2, $3) }
|	front tails          { $$ = yylex.(*parse).node(nQuery, Token{}, yylex.(*parse).join(yylex.(*parse).begin($1), $2)) }
|	WORD any             { $$ = yylex.(*parse).node(nOther, $1, $2) }
|	FETCH any            { $$ = yylex.(*parse).node(nOther, $1, $2) }

/* a statement that begins with a bracket */
front:
	'(' inner ')'        { $$ = yylex.(*parse).node(nParen, $1, yylex.(*parse).begin($2)) }
|	front SETOP part     { $$ = yylex.(*parse).node(nSet, $2, yylex.(*parse).add(yylex.(*parse).begin($1), $3)) }
|	front SETOP '(' inner ')' { $$ = yylex.(*parse).node(nSet, $2, yylex.(*parse).add(yylex.(*parse).begin($1), yylex.(*parse).node(nParen, $3, yylex.(*parse).begin($4)))) }

query:
	body tails           { $$ = yylex.(*parse).node(nQuery, Token{}, yylex.(*parse).join(yylex.(*parse).begin($1), $2)) }
|	WITH soup body tails { $$ = yylex.(*parse).with($1, $2, yylex.(*parse).node(nQuery, Token{}, yylex.(*parse).join(yylex.(*parse).begin($3), $4))) }

body:
	part
|	body SETOP part      { $$ = yylex.(*parse).node(nSet, $2, yylex.(*parse).add(yylex.(*parse).begin($1), $3)) }
|	body SETOP '(' inner ')' { $$ = yylex.(*parse).node(nSet, $2, yylex.(*parse).add(yylex.(*parse).begin($1), yylex.(*parse).node(nParen, $3, yylex.(*parse).begin($4)))) }

part:
	SELECT soup clauses  { $$ = yylex.(*parse).node(nSelect, $1, yylex.(*parse).join(yylex.(*parse).begin(yylex.(*parse).node(nClause, $1, $2)), $3)) }
|	VALUES soup          { $$ = yylex.(*parse).node(nSelect, $1, yylex.(*parse).begin(yylex.(*parse).node(nClause, $1, $2))) }
|	TABLE soup           { $$ = yylex.(*parse).node(nSelect, $1, yylex.(*parse).begin(yylex.(*parse).node(nClause, $1, $2))) }

clauses:
	/* nothing */        { $$ = list{} }
|	clauses clause       { $$ = yylex.(*parse).add($1, $2) }

clause:
	clauseword soup      { $$ = yylex.(*parse).node(nClause, $1, $2) }

tails:
	/* nothing */        { $$ = list{} }
|	tails tail           { $$ = yylex.(*parse).add($1, $2) }

tail:
	tailword soup        { $$ = yylex.(*parse).node(nClause, $1, $2) }

clauseword: INTO | FROM | WHERE | GROUP | HAVING | WINDOW

tailword: ORDER | LIMIT | OFFSET | FETCH | FOR

dml:
	dmlword any          { $$ = yylex.(*parse).node(nWrite, $1, $2) }

dmlword: INSERT | UPDATE | DELETE | MERGE

inner:
	rest                 { $$ = yylex.(*parse).node(nRow, Token{}, $1) }
|	query
|	dml
|	WITH soup dml        { $$ = yylex.(*parse).with($1, $2, $3) }

rest: loose

soup:
	/* nothing */        { $$ = list{} }
|	soup atom            { $$ = yylex.(*parse).add($1, $2) }

loose:
	/* nothing */        { $$ = list{} }
|	loose latom          { $$ = yylex.(*parse).add($1, $2) }

any:
	/* nothing */        { $$ = list{} }
|	any xatom            { $$ = yylex.(*parse).add($1, $2) }

plain: WORD | LITERAL | OPERATOR | ',' | '.' | ':'

atom:
	plain                { $$ = yylex.(*parse).node(nAtom, $1, list{}) }
|	'(' inner ')'        { $$ = yylex.(*parse).node(nParen, $1, yylex.(*parse).begin($2)) }
|	'[' loose ']'        { $$ = yylex.(*parse).node(nBracket, $1, $2) }

latom:
	atom
|	clauseword           { $$ = yylex.(*parse).node(nAtom, $1, list{}) }
|	tailword             { $$ = yylex.(*parse).node(nAtom, $1, list{}) }
|	SETOP                { $$ = yylex.(*parse).node(nAtom, $1, list{}) }

xatom:
	latom
|	SELECT               { $$ = yylex.(*parse).node(nAtom, $1, list{}) }
|	VALUES               { $$ = yylex.(*parse).node(nAtom, $1, list{}) }
|	TABLE                { $$ = yylex.(*parse).node(nAtom, $1, list{}) }
|	WITH                 { $$ = yylex.(*parse).node(nAtom, $1, list{}) }
|	dmlword              { $$ = yylex.(*parse).node(nAtom, $1, list{}) }
