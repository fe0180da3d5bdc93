#include "state.h"

#include <libfyaml.h>
#include <stdlib.h>
#include <string.h>

#define ACCELERATORS_MAX 64
#define WORKERS_MAX	 20000

/*
 * One table per kind of mapping drives parsing and checks. A mapping of names to things has
 * no table of its own: parse_named calls a function for each entry.
 */
enum key_type {
	KEY_COUNT,
	KEY_DURATION,
	KEY_FRACTION,
	KEY_BYTES,
	KEY_BOOL,
	KEY_DIGEST,
	KEY_ADJACENCY,
	KEY_NESTED
};

struct parser;
typedef void nested_fn(struct parser *p, struct fy_node *value, void *into);

struct key {
	const char *name;
	enum key_type type;
	bool required;
	double min;
	double max;
	size_t offset;
	nested_fn *nested;
};

struct parser {
	const struct doc_section *section;
	struct doc *doc;
	struct doc_problems *problems;
	const char *name;
	int line;
	int column;
};

/* Remember where a scalar stands. */
static void set_position(struct parser *p, struct fy_node *n)
{
	struct fy_token *t = fy_node_get_scalar_token(n);
	const struct fy_mark *m = t != NULL ? fy_token_start_mark(t) : NULL;

	if (m == NULL)
		return;
	p->line = p->section->first_line + m->line;
	p->column = p->section->indent + m->column + 1;
}

/* Add a problem at the current position. */
#define problem(p, key, ...)                                                                   \
	doc_problem_add(                                                                       \
		(p)->problems, (p)->section->name, (p)->line, (p)->column, key, __VA_ARGS__)

/* The current position as an owned value. */
static struct doc_where here(const struct parser *p)
{
	return (struct doc_where){
		.section = xstrdup(p->section->name), .line = p->line, .column = p->column};
}

/* A whole number within limits. */
static bool parse_count(const char *text, double min, double max, uint32_t *out)
{
	char *end;
	long long v = strtoll(text, &end, 10);

	if (end == text || *end != '\0' || (double)v < min || (double)v > max)
		return false;
	*out = (uint32_t)v;
	return true;
}

/* A size with a unit. */
static bool parse_bytes(const char *text, double min, double max, uint32_t *out)
{
	static const struct {
		const char *unit;
		double scale;
	} units[] = {{"B", 1}, {"KiB", 1024}, {"MiB", 1024 * 1024}};
	char *end;
	double v = g_ascii_strtod(text, &end);

	for (size_t i = 0; end != text && i < ARRAY_LEN(units); i++) {
		if (strcmp(end, units[i].unit) != 0)
			continue;
		v *= units[i].scale;
		*out = (uint32_t)v;
		return v >= min && v <= max;
	}
	return false;
}

/* A token's digest. */
static bool parse_digest(const char *text, char **out)
{
	if (!g_str_has_prefix(text, "sha256:") || strlen(text) != 7 + 64 ||
		strspn(text + 7, "0123456789abcdef") != 64)
		return false;
	free(*out);
	*out = xstrdup(text);
	return true;
}

/* Check a scalar against its key and store it. */
static void parse_scalar(struct parser *p, const struct key *k, const char *text, void *into)
{
	char *at = (char *)into + k->offset;
	int64_t ns;
	char *end;
	double real;

	switch (k->type) {
	case KEY_COUNT:
		if (!parse_count(text, k->min, k->max, (uint32_t *)at))
			problem(p, k->name, "'%s' is not a whole number from %.0f to %.0f",
				text, k->min, k->max);
		break;
	case KEY_DURATION:
		if (!duration_parse(text, &ns) || (double)ns < k->min * (double)NSEC_PER_SEC ||
			(double)ns > k->max * (double)NSEC_PER_SEC)
			problem(p, k->name,
				"'%s' is not a duration from %gs to %gs (units: ms, s, m, h, "
				"d)",
				text, k->min, k->max);
		else
			*(int64_t *)at = ns;
		break;
	case KEY_FRACTION:
		real = g_ascii_strtod(text, &end);
		if (end == text || *end != '\0' || real < k->min || real > k->max)
			problem(p, k->name, "'%s' is not a number from %g to %g", text, k->min,
				k->max);
		else
			*(double *)at = real;
		break;
	case KEY_BYTES:
		if (!parse_bytes(text, k->min, k->max, (uint32_t *)at))
			problem(p, k->name,
				"'%s' is not a size from %.0fB to %.0fB (units: B, KiB, MiB)",
				text, k->min, k->max);
		break;
	case KEY_BOOL:
		*(bool *)at = strcmp(text, "true") == 0;
		if (!*(bool *)at && strcmp(text, "false") != 0)
			problem(p, k->name, "'%s' is neither true nor false", text);
		break;
	case KEY_DIGEST:
		if (!parse_digest(text, (char **)at))
			problem(p, k->name,
				"a token is given as sha256: and 64 hexadecimal digits");
		break;
	case KEY_ADJACENCY:
		if (!adjacency_parse(text, (enum adjacency *)at))
			problem(p, k->name, "'%s' is not any, rack or worker", text);
		break;
	case KEY_NESTED:
		break;
	}
}

/* The text of a key, or NULL with a problem. */
static const char *key_text(struct parser *p, struct fy_node_pair *pair)
{
	struct fy_node *key = fy_node_pair_key(pair);
	const char *name = key != NULL ? fy_node_get_scalar0(key) : NULL;

	if (name == NULL) {
		problem(p, NULL, "a key must be plain text");
		return NULL;
	}
	set_position(p, key);
	return name;
}

/* Whether an earlier pair of the mapping has the same key. */
static bool is_repeated(struct fy_node *map, struct fy_node_pair *pair, const char *name)
{
	struct fy_node_pair *other;
	void *it = NULL;

	while ((other = fy_node_mapping_iterate(map, &it)) != NULL && other != pair) {
		const char *text = fy_node_get_scalar0(fy_node_pair_key(other));

		if (text != NULL && strcmp(text, name) == 0)
			return true;
	}
	return false;
}

/* Find a key in a table. */
static const struct key *find_key(const struct key *keys, size_t len, const char *name)
{
	for (size_t i = 0; i < len; i++) {
		if (strcmp(keys[i].name, name) == 0)
			return &keys[i];
	}
	return NULL;
}

/* Handle one pair of a mapping with a table. */
static void parse_pair(struct parser *p, const struct key *k, const char *name,
	struct fy_node_pair *pair, void *into)
{
	struct fy_node *value = fy_node_pair_value(pair);
	const char *text;

	if (k == NULL) {
		problem(p, name, "unknown key");
		return;
	}
	if (k->type == KEY_NESTED) {
		p->name = k->name;
		k->nested(p, value, into);
		return;
	}
	text = value != NULL ? fy_node_get_scalar0(value) : NULL;
	if (text == NULL) {
		problem(p, name, "a single value is needed");
		return;
	}
	set_position(p, value);
	parse_scalar(p, k, text, into);
}

/* Parse a mapping by its table. */
static void parse_keys(
	struct parser *p, struct fy_node *map, const struct key *keys, size_t len, void *into)
{
	int line = p->line;
	int column = p->column;
	uint64_t seen = 0;
	struct fy_node_pair *pair;
	void *it = NULL;

	if (map == NULL || fy_node_get_type(map) != FYNT_MAPPING) {
		problem(p, p->name, "keys and values are needed here");
		return;
	}
	while ((pair = fy_node_mapping_iterate(map, &it)) != NULL) {
		const char *name = key_text(p, pair);
		const struct key *k;

		if (name == NULL)
			continue;
		k = find_key(keys, len, name);
		if (is_repeated(map, pair, name)) {
			problem(p, name, "the key is there twice");
			continue;
		}
		if (k != NULL)
			seen |= UINT64_C(1) << (k - keys);
		parse_pair(p, k, name, pair, into);
	}
	for (size_t i = 0; i < len; i++) {
		if (keys[i].required && !(seen >> i & 1))
			doc_problem_add(p->problems, p->section->name, line, column,
				keys[i].name, "the key is missing");
	}
}

/* Whether a name can stand in keys, paths and log lines. */
static bool is_name(const char *name)
{
	size_t len = strlen(name);

	return len > 0 && len < JOB_NAME_MAX && g_ascii_isalnum(name[0]) &&
	       strspn(name,
		       "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.") ==
		       len;
}

typedef void named_fn(struct parser *p, const char *name, struct fy_node *value, void *into);

/* Parse a mapping of names to things. */
static void parse_named(struct parser *p, struct fy_node *map, named_fn *fn, void *into)
{
	struct fy_node_pair *pair;
	void *it = NULL;

	if (map == NULL || fy_node_get_type(map) != FYNT_MAPPING) {
		problem(p, p->name, "a mapping of names is needed here");
		return;
	}
	while ((pair = fy_node_mapping_iterate(map, &it)) != NULL) {
		const char *name = key_text(p, pair);

		if (name == NULL)
			continue;
		if (!is_name(name))
			problem(p, name, "a name has letters, digits, '-', '_' and '.' only");
		else if (is_repeated(map, pair, name))
			problem(p, name, "the name is there twice");
		else
			fn(p, name, fy_node_pair_value(pair), into);
	}
}

/* guarantees: a list of shapes. */
static void parse_guarantees(struct parser *p, struct fy_node *list, void *into)
{
	static const struct key keys[] = {
		{"accelerators", KEY_COUNT, true, 1, ACCELERATORS_MAX,
			offsetof(struct doc_guarantee, accelerators), NULL},
		{"within", KEY_ADJACENCY, true, 0, 0, offsetof(struct doc_guarantee, adjacency),
			NULL},
		{"count", KEY_COUNT, false, 1, WORKERS_MAX,
			offsetof(struct doc_guarantee, count), NULL},
	};
	struct doc_org *o = into;
	struct fy_node *item;
	void *it = NULL;

	if (list == NULL || fy_node_get_type(list) != FYNT_SEQUENCE) {
		problem(p, "guarantees", "a list of shapes is needed here");
		return;
	}
	while ((item = fy_node_sequence_iterate(list, &it)) != NULL) {
		struct doc_guarantee *g = xcalloc(1, sizeof(*g));

		g->count = 1;
		parse_keys(p, item, keys, ARRAY_LEN(keys), g);
		g->where = here(p);
		STAILQ_INSERT_TAIL(&o->guarantees, g, entry);
	}
}

/* quota: what an organisation may hold at most. */
static void parse_quota(struct parser *p, struct fy_node *value, void *into)
{
	static const struct key keys[] = {
		{"accelerators", KEY_COUNT, false, 0, 1000000,
			offsetof(struct doc_org, quota_accelerators), NULL},
		{"jobs", KEY_COUNT, false, 1, 1000000, offsetof(struct doc_org, quota_jobs),
			NULL},
	};

	parse_keys(p, value, keys, ARRAY_LEN(keys), into);
}

/* limits: how fast an organisation may submit. */
static void parse_limits(struct parser *p, struct fy_node *value, void *into)
{
	static const struct key keys[] = {
		{"rate", KEY_COUNT, true, 1, 1000000, offsetof(struct doc_org, rate_per_second),
			NULL},
		{"burst", KEY_COUNT, false, 1, 1000000, offsetof(struct doc_org, rate_burst),
			NULL},
	};

	parse_keys(p, value, keys, ARRAY_LEN(keys), into);
}

/* One organisation of a team. */
static void parse_org(struct parser *p, const char *name, struct fy_node *value, void *into)
{
	static const struct key keys[] = {
		{"token", KEY_DIGEST, false, 0, 0, offsetof(struct doc_org, token_digest),
			NULL},
		{"guarantees", KEY_NESTED, false, 0, 0, 0, parse_guarantees},
		{"quota", KEY_NESTED, false, 0, 0, 0, parse_quota},
		{"limits", KEY_NESTED, false, 0, 0, 0, parse_limits},
	};
	const struct doc_org *other = doc_find_org(p->doc, name);
	struct doc_org *o;

	if (other != NULL) {
		problem(p, name, "team %s has an organisation of this name", other->team);
		return;
	}
	o = xcalloc(1, sizeof(*o));
	o->name = xstrdup(name);
	o->team = xstrdup(into);
	o->where = here(p);
	o->index = p->doc->orgs_len++;
	STAILQ_INIT(&o->guarantees);
	STAILQ_INSERT_TAIL(&p->doc->orgs, o, entry);
	if (value != NULL && fy_node_get_type(value) != FYNT_SCALAR)
		parse_keys(p, value, keys, ARRAY_LEN(keys), o);
}

/* organisations: a mapping. */
static void parse_orgs(struct parser *p, struct fy_node *value, void *into)
{
	struct doc_team *t = into;

	parse_named(p, value, parse_org, t->name);
}

/* One cell's declared topology. */
static void parse_cell(struct parser *p, const char *name, struct fy_node *value, void *into)
{
	static const struct key keys[] = {
		{"workers", KEY_COUNT, true, 1, WORKERS_MAX, offsetof(struct doc_cell, workers),
			NULL},
		{"workers_per_rack", KEY_COUNT, true, 1, WORKERS_MAX,
			offsetof(struct doc_cell, workers_per_rack), NULL},
		{"accelerators", KEY_COUNT, true, 0, ACCELERATORS_MAX,
			offsetof(struct doc_cell, accelerators), NULL},
	};
	struct doc_cell *c = xcalloc(1, sizeof(*c));

	(void)into;
	c->name = xstrdup(name);
	STAILQ_INSERT_TAIL(&p->doc->cells, c, entry);
	parse_keys(p, value, keys, ARRAY_LEN(keys), c);
}

/* cells: a mapping. */
static void parse_cells(struct parser *p, struct fy_node *value, void *into)
{
	(void)into;
	parse_named(p, value, parse_cell, NULL);
}

/* One class of jobs. */
static void parse_class(struct parser *p, const char *name, struct fy_node *value, void *into)
{
	static const struct key keys[] = {
		{"priority", KEY_COUNT, true, 0, DOC_CLASS_PRIORITY_MAX,
			offsetof(struct doc_class, priority), NULL},
		{"urgent", KEY_BOOL, false, 0, 0, offsetof(struct doc_class, urgent), NULL},
		{"start_within", KEY_DURATION, false, 0.1, 86400,
			offsetof(struct doc_class, start_within), NULL},
		{"queue_max", KEY_COUNT, false, 1, 1000000,
			offsetof(struct doc_class, queue_max), NULL},
	};
	struct doc_class *c = xcalloc(1, sizeof(*c));

	(void)into;
	c->name = xstrdup(name);
	STAILQ_INSERT_TAIL(&p->doc->classes, c, entry);
	parse_keys(p, value, keys, ARRAY_LEN(keys), c);
}

/* classes: a mapping. */
static void parse_classes(struct parser *p, struct fy_node *value, void *into)
{
	(void)into;
	parse_named(p, value, parse_class, NULL);
}

/* The section of the operators. */
static void parse_cluster(struct parser *p, struct fy_node *root)
{
	static const struct key keys[] = {
		{"grace", KEY_DURATION, false, 0.1, 60, offsetof(struct doc, grace), NULL},
		{"completion_weight", KEY_FRACTION, false, 0, 1,
			offsetof(struct doc, weight_completion), NULL},
		{"queue_max", KEY_COUNT, false, 1, 1000000, offsetof(struct doc, queue_max),
			NULL},
		{"payload_max", KEY_BYTES, false, 1024, JOB_PAYLOAD_MAX,
			offsetof(struct doc, payload_max), NULL},
		{"operators", KEY_DIGEST, false, 0, 0, offsetof(struct doc, operators_digest),
			NULL},
		{"cells", KEY_NESTED, true, 0, 0, 0, parse_cells},
		{"classes", KEY_NESTED, true, 0, 0, 0, parse_classes},
	};

	p->name = "cluster";
	parse_keys(p, root, keys, ARRAY_LEN(keys), p->doc);
}

/* The section of one team. */
static void parse_team(struct parser *p, struct fy_node *root, const char *name)
{
	static const struct key keys[] = {
		{"token", KEY_DIGEST, false, 0, 0, offsetof(struct doc_team, token_digest),
			NULL},
		{"organisations", KEY_NESTED, true, 0, 0, 0, parse_orgs},
	};
	struct doc_team *t = xcalloc(1, sizeof(*t));

	t->name = xstrdup(name);
	STAILQ_INSERT_TAIL(&p->doc->teams, t, entry);
	p->name = name;
	parse_keys(p, root, keys, ARRAY_LEN(keys), t);
}

/* Build a YAML document; syntax errors become problems. */
static struct fy_document *build_yaml(struct parser *p, const char *text)
{
	struct fy_diag_cfg dc;
	struct fy_parse_cfg cfg = {
		.flags = FYPCF_QUIET | FYPCF_COLLECT_DIAG | FYPCF_ALLOW_DUPLICATE_KEYS};
	struct fy_diag *diag;
	struct fy_document *fyd;
	struct fy_diag_error *e;
	void *it = NULL;

	fy_diag_cfg_default(&dc);
	dc.fp = NULL;
	diag = fy_diag_create(&dc);
	fy_diag_set_collect_errors(diag, true);
	cfg.diag = diag;
	fyd = fy_document_build_from_string(&cfg, text, FY_NT);
	e = fyd == NULL ? fy_diag_errors_iterate(diag, &it) : NULL;
	if (e != NULL) {
		p->line = p->section->first_line + e->line;
		p->column = p->section->indent + e->column + 1;
	}
	if (fyd == NULL)
		problem(p, NULL, "not valid YAML: %s", e != NULL ? e->msg : "syntax error");
	fy_diag_destroy(diag);
	return fyd;
}

/* Parse one section into the document. */
static void parse_section(struct parser *p)
{
	const char *name = p->section->name;
	struct fy_document *fyd;

	p->line = p->section->first_line;
	p->column = 1;
	fyd = build_yaml(p, p->section->text);
	if (fyd == NULL)
		return;
	if (strcmp(name, "cluster") == 0)
		parse_cluster(p, fy_document_root(fyd));
	else if (g_str_has_prefix(name, "teams/") && is_name(name + 6))
		parse_team(p, fy_document_root(fyd), name + 6);
	else
		problem(p, name, "a section is 'cluster' or 'teams/NAME'");
	fy_document_destroy(fyd);
}

/* Parse all sections to one document, which the caller frees also where there are problems. */
struct doc *doc_parse_sections(
	const struct doc_section *sections, size_t len, struct doc_problems *problems)
{
	struct parser p = {.doc = doc_new(), .problems = problems};

	for (size_t i = 0; i < len; i++) {
		p.section = &sections[i];
		parse_section(&p);
	}
	return p.doc;
}

/* Free a section; for GPtrArray. */
void doc_section_free(void *section)
{
	struct doc_section *s = section;

	if (s == NULL)
		return;
	free(s->name);
	free(s->text);
	free(s);
}

/* The lines of a block, less its indentation. */
static char *slice_lines(const char *text, int from, int to, int indent)
{
	GString *out = g_string_new(NULL);
	g_auto(GStrv) lines = g_strsplit(text, "\n", -1);
	char *copy;

	for (int i = 0; lines[i] != NULL && (to < 0 || i < to); i++) {
		const char *line = lines[i];
		int cut = 0;

		if (i < from)
			continue;
		while (cut < indent && line[cut] == ' ')
			cut++;
		g_string_append(out, line + cut);
		if (lines[i + 1] != NULL)
			g_string_append_c(out, '\n');
	}
	copy = xstrdup(out->str);
	g_string_free(out, TRUE);
	return copy;
}

/* The mark of a key. */
static const struct fy_mark *key_mark(struct fy_node_pair *pair)
{
	struct fy_node *key = fy_node_pair_key(pair);
	struct fy_token *t = key != NULL ? fy_node_get_scalar_token(key) : NULL;

	return t != NULL ? fy_token_start_mark(t) : NULL;
}

/* Add the section that a pair's value is; next_line ends it, -1 for the end of the file. */
static void add_section(GPtrArray *sections, const char *text, const char *name,
	struct fy_node_pair *pair, int next_line)
{
	struct fy_node *value = fy_node_pair_value(pair);
	const struct fy_mark *mark = key_mark(pair);
	const struct fy_mark *first = NULL;
	struct doc_section *s = xcalloc(1, sizeof(*s));
	void *it = NULL;

	s->name = xstrdup(name);
	if (value != NULL && fy_node_get_type(value) == FYNT_MAPPING) {
		struct fy_node_pair *child = fy_node_mapping_iterate(value, &it);

		first = child != NULL ? key_mark(child) : NULL;
	}
	if (first != NULL && first->line > mark->line) {
		s->text = slice_lines(text, mark->line + 1, next_line, first->column);
		s->first_line = mark->line + 2;
		s->indent = first->column;
	} else {
		char *flow =
			value != NULL ? fy_emit_node_to_string(value, FYECF_DEFAULT) : NULL;

		s->text = xstrdup(flow != NULL ? flow : "");
		free(flow);
		s->first_line = mark->line + 1;
	}
	g_ptr_array_add(sections, s);
}

/* The line of the pair after this one, or the given end. */
static int line_after(struct fy_node *map, struct fy_node_pair *pair, int end)
{
	struct fy_node_pair *p;
	void *it = NULL;
	bool found = false;

	while ((p = fy_node_mapping_iterate(map, &it)) != NULL) {
		const struct fy_mark *m = key_mark(p);

		if (found && m != NULL)
			return m->line;
		found = found || p == pair;
	}
	return end;
}

/* Split the value of "teams". */
static void split_teams(
	struct parser *p, GPtrArray *sections, const char *text, struct fy_node *teams, int end)
{
	struct fy_node_pair *pair;
	void *it = NULL;

	if (teams == NULL || fy_node_get_type(teams) != FYNT_MAPPING) {
		problem(p, "teams", "a mapping of names is needed here");
		return;
	}
	while ((pair = fy_node_mapping_iterate(teams, &it)) != NULL) {
		const char *name = key_text(p, pair);
		AUTOFREE char *full = NULL;

		if (name == NULL)
			continue;
		if (is_repeated(teams, pair, name)) {
			problem(p, name, "the name is there twice");
			continue;
		}
		xasprintf(&full, "teams/%s", name);
		add_section(sections, text, full, pair, line_after(teams, pair, end));
	}
}

/* Split a whole file into sections; false where it cannot be. */
bool doc_split(const char *text, GPtrArray *sections, struct doc_problems *problems)
{
	struct doc_section whole = {.name = "document", .first_line = 1};
	struct parser p = {.section = &whole,
		.problems = problems,
		.name = "document",
		.line = 1,
		.column = 1};
	struct fy_document *fyd = build_yaml(&p, text);
	struct fy_node *root = fyd != NULL ? fy_document_root(fyd) : NULL;
	struct fy_node_pair *pair;
	void *it = NULL;

	if (root == NULL || fy_node_get_type(root) != FYNT_MAPPING) {
		if (STAILQ_EMPTY(problems))
			problem(&p, NULL, "the document needs the keys cluster and teams");
		fy_document_destroy(fyd);
		return false;
	}
	while ((pair = fy_node_mapping_iterate(root, &it)) != NULL) {
		const char *name = key_text(&p, pair);
		int end = line_after(root, pair, -1);

		if (name != NULL && is_repeated(root, pair, name))
			problem(&p, name, "the key is there twice");
		else if (name != NULL && strcmp(name, "cluster") == 0)
			add_section(sections, text, name, pair, end);
		else if (name != NULL && strcmp(name, "teams") == 0)
			split_teams(&p, sections, text, fy_node_pair_value(pair), end);
		else if (name != NULL)
			problem(&p, name, "unknown key");
	}
	fy_document_destroy(fyd);
	return STAILQ_EMPTY(problems);
}
