// The grammar of statements, as far as routing needs it. It recognizes clauses, parentheses, subqueries and the parts
// that write; the contents of a clause stay a row of atoms, which classify.go visits. It accepts more than a server
// does, which is safe because the server rejects the statement. What it doesn't accept counts as a write (classify.go).
%{
package sql
%}

%union {
	tok  Token
	list nodeList
	node int32
}

%token <tok> WORD LITERAL OPERATOR
%token <tok> SELECT VALUES TABLE WITH INSERT UPDATE DELETE MERGE
%token <tok> INTO FROM WHERE GROUP HAVING WINDOW
%token <tok> ORDER LIMIT OFFSET FETCH FOR
%token <tok> SETOP
%token <tok> '(' ')' '[' ']' ',' ';' '.' ':'

%type <list> statements atoms innerAtoms anyAtoms clauses tails row
%type <node> statement query dml body selectCore clause tail atom innerAtom anyAtom parenContents leadingParen
%type <tok>  plainToken clauseKeyword tailKeyword dmlKeyword

%start statements

%%

statements:
	statement            { $$ = yylex.(*parser).newList($1); yylex.(*parser).statements = $$ }
|	statements ';' statement { $$ = yylex.(*parser).appendNode($1, $3); yylex.(*parser).statements = $$ }

statement:
	/* nothing */        { $$ = yylex.(*parser).newNode(nodeEmpty, Token{}, nodeList{}) }
|	query
|	dml
|	WITH atoms dml       { $$ = yylex.(*parser).newWith($1, $2, $3) }
|	leadingParen tails   { $$ = yylex.(*parser).newNode(nodeQuery, Token{}, yylex.(*parser).concat(yylex.(*parser).newList($1), $2)) }
|	WORD anyAtoms        { $$ = yylex.(*parser).newNode(nodeOther, $1, $2) }
|	FETCH anyAtoms       { $$ = yylex.(*parser).newNode(nodeOther, $1, $2) }

/* a statement that begins with a parenthesis */
leadingParen:
	'(' parenContents ')' { $$ = yylex.(*parser).newNode(nodeParen, $1, yylex.(*parser).newList($2)) }
|	leadingParen SETOP selectCore { $$ = yylex.(*parser).newNode(nodeSetOp, $2, yylex.(*parser).appendNode(yylex.(*parser).newList($1), $3)) }
|	leadingParen SETOP '(' parenContents ')' { $$ = yylex.(*parser).newNode(nodeSetOp, $2, yylex.(*parser).appendNode(yylex.(*parser).newList($1), yylex.(*parser).newNode(nodeParen, $3, yylex.(*parser).newList($4)))) }

query:
	body tails           { $$ = yylex.(*parser).newNode(nodeQuery, Token{}, yylex.(*parser).concat(yylex.(*parser).newList($1), $2)) }
|	WITH atoms body tails { $$ = yylex.(*parser).newWith($1, $2, yylex.(*parser).newNode(nodeQuery, Token{}, yylex.(*parser).concat(yylex.(*parser).newList($3), $4))) }

body:
	selectCore
|	body SETOP selectCore { $$ = yylex.(*parser).newNode(nodeSetOp, $2, yylex.(*parser).appendNode(yylex.(*parser).newList($1), $3)) }
|	body SETOP '(' parenContents ')' { $$ = yylex.(*parser).newNode(nodeSetOp, $2, yylex.(*parser).appendNode(yylex.(*parser).newList($1), yylex.(*parser).newNode(nodeParen, $3, yylex.(*parser).newList($4)))) }

selectCore:
	SELECT atoms clauses { $$ = yylex.(*parser).newNode(nodeSelect, $1, yylex.(*parser).concat(yylex.(*parser).newList(yylex.(*parser).newNode(nodeClause, $1, $2)), $3)) }
|	VALUES atoms         { $$ = yylex.(*parser).newNode(nodeSelect, $1, yylex.(*parser).newList(yylex.(*parser).newNode(nodeClause, $1, $2))) }
|	TABLE atoms          { $$ = yylex.(*parser).newNode(nodeSelect, $1, yylex.(*parser).newList(yylex.(*parser).newNode(nodeClause, $1, $2))) }

clauses:
	/* nothing */        { $$ = nodeList{} }
|	clauses clause       { $$ = yylex.(*parser).appendNode($1, $2) }

clause:
	clauseKeyword atoms  { $$ = yylex.(*parser).newNode(nodeClause, $1, $2) }

tails:
	/* nothing */        { $$ = nodeList{} }
|	tails tail           { $$ = yylex.(*parser).appendNode($1, $2) }

tail:
	tailKeyword atoms    { $$ = yylex.(*parser).newNode(nodeClause, $1, $2) }

clauseKeyword: INTO | FROM | WHERE | GROUP | HAVING | WINDOW

tailKeyword: ORDER | LIMIT | OFFSET | FETCH | FOR

dml:
	dmlKeyword anyAtoms  { $$ = yylex.(*parser).newNode(nodeDML, $1, $2) }

dmlKeyword: INSERT | UPDATE | DELETE | MERGE

parenContents:
	row                  { $$ = yylex.(*parser).newNode(nodeRow, Token{}, $1) }
|	query
|	dml
|	WITH atoms dml       { $$ = yylex.(*parser).newWith($1, $2, $3) }

row: innerAtoms

atoms:
	/* nothing */        { $$ = nodeList{} }
|	atoms atom           { $$ = yylex.(*parser).appendNode($1, $2) }

innerAtoms:
	/* nothing */        { $$ = nodeList{} }
|	innerAtoms innerAtom { $$ = yylex.(*parser).appendNode($1, $2) }

anyAtoms:
	/* nothing */        { $$ = nodeList{} }
|	anyAtoms anyAtom     { $$ = yylex.(*parser).appendNode($1, $2) }

plainToken: WORD | LITERAL | OPERATOR | ',' | '.' | ':'

atom:
	plainToken           { $$ = yylex.(*parser).newNode(nodeAtom, $1, nodeList{}) }
|	'(' parenContents ')' { $$ = yylex.(*parser).newNode(nodeParen, $1, yylex.(*parser).newList($2)) }
|	'[' innerAtoms ']'   { $$ = yylex.(*parser).newNode(nodeBracket, $1, $2) }

innerAtom:
	atom
|	clauseKeyword        { $$ = yylex.(*parser).newNode(nodeAtom, $1, nodeList{}) }
|	tailKeyword          { $$ = yylex.(*parser).newNode(nodeAtom, $1, nodeList{}) }
|	SETOP                { $$ = yylex.(*parser).newNode(nodeAtom, $1, nodeList{}) }

anyAtom:
	innerAtom
|	SELECT               { $$ = yylex.(*parser).newNode(nodeAtom, $1, nodeList{}) }
|	VALUES               { $$ = yylex.(*parser).newNode(nodeAtom, $1, nodeList{}) }
|	TABLE                { $$ = yylex.(*parser).newNode(nodeAtom, $1, nodeList{}) }
|	WITH                 { $$ = yylex.(*parser).newNode(nodeAtom, $1, nodeList{}) }
|	dmlKeyword           { $$ = yylex.(*parser).newNode(nodeAtom, $1, nodeList{}) }
