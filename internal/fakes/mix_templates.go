package fakes

// mixTemplates lists the templates of fingerprints by workload. {s}, {t}, {c} and {k} are placeholders of a schema, a table, a column and a
// key; ? is a placeholder of a literal, # of a list of literals.
var mixTemplates = [3][]string{
	{
		"SELECT {c}, {c}, {c} FROM {s}.{t} WHERE {k} = ?",
		"select a.{c}, b.{c} from {s}.{t} a join {s}.{t} b on b.{k} = a.{k} where a.{k} = ? order by a.{c} desc limit 20",
		"SELECT TOP (10) [{c}], [{c}] FROM [{s}].[{t}] WHERE [{k}] = @p1 AND [{c}] IN (#)",
		"select count(*) from {s}.{t} where {k} = ? and {c} > ?",
		"select {c}, {c} from {s}.{t} where {k} in (#) -- from {s}x_1.{t}",
		"SELECT max({c}) FROM {s}.{t} WHERE {k} = ? AND {c} = ?",
		"select {c}, count(*) from {s}.{t} where {k} = ? group by {c}",
		"select {c}, {c} from {s}.{t} order by {c} limit 50",
		"SELECT `{c}` FROM `{s}`.`{t}` WHERE {c} LIKE ? LIMIT 25",
		"with one as (select * from {s}.{t} where {k} = ?) select {c}, {c} from one",
	}, {
		"SELECT {c}, sum({c}), avg({c}) FROM {s}.{t} a JOIN {s}.{t} b ON a.{k} = b.{k} WHERE a.{c} BETWEEN ? AND ? GROUP BY {c} ORDER BY 2",
		"select r.{c}, count(*), sum(o.{c}) from {s}.{t} o, {s}.{t} r, {s}.{t} p where o.{k} = r.{k} and p.{k} = o.{k} and o.{c} >= ? group by r.{c} having sum(o.{c}) > ?",
		"WITH m AS (SELECT {c}, sum({c}) AS v FROM {s}.{t} WHERE {c} >= ? GROUP BY {c}) SELECT {c}, v, rank() OVER (ORDER BY v DESC) FROM m",
		"select {c}, sum({c}) from {s}.{t} where {c} > ? group by {c} union all select {c}, sum({c}) from {s}.{t} where {c} > ? group by {c}",
		"SELECT DISTINCT a.{c}, b.{c} FROM {s}.{t} a LEFT JOIN {s}.{t} b ON a.{k} = b.{k} LEFT JOIN {s}.{t} c ON c.{k} = b.{k} WHERE a.{c} > ? AND c.{c} < ? ORDER BY 1",
		"select {c}, (select avg(x.{c}) from {s}.{t} x where x.{k} = t.{k}), sum({c}) from {s}.{t} t join {s}.{t} u on u.{k} = t.{k} where t.{c} >= ? group by {c}",
		"SELECT [{c}], SUM([{c}]), COUNT(*) FROM [{s}].[{t}] WITH (NOLOCK) INNER JOIN [{s}].[{t}] AS [y] ON [y].[{k}] = [{c}] WHERE [{c}] >= ? AND [{c}] < ? GROUP BY [{c}]",
		"select * from {s}.{t} where {c} = ? and {c} >= ?",
		"select {c}, sum({c}) from {s}.{t} group by {c}",
	}, {
		"INSERT INTO {s}.{t} SELECT * FROM staging.batch WHERE {c} = ?",
		"merge into {s}.{t} d using staging.delta x on d.{k} = x.{k} when matched then update set {c} = x.{c} when not matched then insert ({k}) values (x.{k})",
		"COPY {s}.{t} ({k}, {c}) FROM STDIN",
		"update {s}.{t} set {c} = {c} * ? where {c} > ?",
		"delete from {s}.{t} where {c} < ?",
		"begin; truncate table {s}.{t}; insert into {s}.{t} select {c}, {c} from {s}.{t}; commit",
	},
}

// Names that replace the placeholders of templates.
var (
	mixSchemas = []string{"sales", "mart", "ops", "lake"}
	mixTables  = []string{"orders", "stock", "items", "members", "visits", "prices", "lines", "events"}
	mixColumns = []string{"region", "day", "total", "price", "qty", "branch", "note", "status", "margin", "city", "grade", "weight"}
	mixKeys    = []string{"id", "sku", "member_no", "doc_id"}
)
