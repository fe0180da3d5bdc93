#include "state.h"

#include <libfyaml.h>
#include <stdlib.h>
#include <string.h>

#define ACCELERATORS_MAX       64    /* accelerators of a worker or a shape */
#define WORKERS_MAX	       20000 /* workers of a cell or a rack, instances of a guarantee */
#define QUOTA_ACCELERATORS_MAX 1000000
#define QUOTA_JOBS_MAX	       1000000
#define QUEUE_JOBS_MAX	       1000000
#define RATE_MAX	       1000000 /* jobs per second */
#define BURST_JOBS_MAX	       1000000
#define START_WITHIN_MIN_S     0.1
#define START_WITHIN_MAX_S     86400
#define GRACE_MIN_S	       0.1
#define GRACE_MAX_S	       60
#define PAYLOAD_MAX_MIN_BYTES  1024 /* smallest value of payload_max */

/*
 * Mappings with fixed keys are parsed and checked by a table of keys (parse_keys). In mappings
 * with user-defined names as keys, parse_named calls a function for each entry.
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
/* Parses the value of a nested mapping or sequence into dest. */
typedef void parse_value_fn(struct parser *p, struct fy_node *value, void *dest);

/*
 * A key of a mapping. min and max limit its value: a count, seconds for a duration, or bytes.
 * offset is the place of the value in the struct that the mapping is parsed into.
 */
struct key {
	const char *name;
	enum key_type type;
	bool required;
	double min;
	double max;
	size_t offset;
	parse_value_fn *nested;
};

/*
 * The section being parsed and the position that problems are reported at. name is the key or
 * section whose value is parsed.
 */
struct parser {
	const struct doc_section *section;
	struct doc *doc;
	struct doc_problems *problems;
	const char *name;
	int line;
	int column;
};

/* Set the current position to the start of a scalar. */
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
#define add_problem(p, key, ...)                                                               \
	doc_problem_add(                                                                       \
		(p)->problems, (p)->section->name, (p)->line, (p)->column, key, __VA_ARGS__)

/* Return the current position; the caller frees its section. */
static struct doc_location current_location(const struct parser *p)
{
	return (struct doc_location){
		.section = xstrdup(p->section->name), .line = p->line, .column = p->column};
}

/* Parse a whole number within limits. */
static bool parse_count(const char *text, double min, double max, uint32_t *out)
{
	char *end;
	long long v = strtoll(text, &end, 10);

	if (end == text || *end != '\0' || (double)v < min || (double)v > max)
		return false;
	*out = (uint32_t)v;
	return true;
}

/* Parse a size with a unit; *out is set also where it is out of limits. */
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

/* Parse a token's digest as doc_token_digest writes it. */
static bool parse_digest(const char *text, char **out)
{
	if (!g_str_has_prefix(text, "sha256:") || strlen(text) != 7 + 64 ||
		strspn(text + 7, "0123456789abcdef") != 64)
		return false;
	free(*out);
	*out = xstrdup(text);
	return true;
}

/* Check a scalar against the type and limits of its key and store it. */
static void parse_scalar(struct parser *p, const struct key *k, const char *text, void *dest)
{
	char *target = (char *)dest + k->offset;
	int64_t ns;
	char *end;
	double real;

	switch (k->type) {
	case KEY_COUNT:
		if (!parse_count(text, k->min, k->max, (uint32_t *)target))
			add_problem(p, k->name, "'%s' is not a whole number from %.0f to %.0f",
				text, k->min, k->max);
		break;
	case KEY_DURATION:
		if (!duration_parse(text, &ns) || (double)ns < k->min * (double)NSEC_PER_SEC ||
			(double)ns > k->max * (double)NSEC_PER_SEC)
			add_problem(p, k->name,
				"'%s' is not a duration from %gs to %gs (units: ms, s, m, h, "
				"d)",
				text, k->min, k->max);
		else
			*(int64_t *)target = ns;
		break;
	case KEY_FRACTION:
		real = g_ascii_strtod(text, &end);
		if (end == text || *end != '\0' || real < k->min || real > k->max)
			add_problem(p, k->name, "'%s' is not a number from %g to %g", text,
				k->min, k->max);
		else
			*(double *)target = real;
		break;
	case KEY_BYTES:
		if (!parse_bytes(text, k->min, k->max, (uint32_t *)target))
			add_problem(p, k->name,
				"'%s' is not a size from %.0fB to %.0fB (units: B, KiB, MiB)",
				text, k->min, k->max);
		break;
	case KEY_BOOL:
		*(bool *)target = strcmp(text, "true") == 0;
		if (!*(bool *)target && strcmp(text, "false") != 0)
			add_problem(p, k->name, "'%s' is neither true nor false", text);
		break;
	case KEY_DIGEST:
		if (!parse_digest(text, (char **)target))
			add_problem(p, k->name,
				"a token is given as sha256: and 64 hexadecimal digits");
		break;
	case KEY_ADJACENCY:
		if (!adjacency_parse(text, (enum adjacency *)target))
			add_problem(p, k->name, "'%s' is not any, rack or worker", text);
		break;
	case KEY_NESTED:
		break;
	}
}

/*
 * Return the text of a key and move the position to it. Adds a problem and returns NULL if the
 * key is not a scalar.
 */
static const char *key_text(struct parser *p, struct fy_node_pair *pair)
{
	struct fy_node *key = fy_node_pair_key(pair);
	const char *name = key != NULL ? fy_node_get_scalar0(key) : NULL;

	if (name == NULL) {
		add_problem(p, NULL, "a key must be plain text");
		return NULL;
	}
	set_position(p, key);
	return name;
}

/* Return whether an earlier pair of the mapping has the same key. */
static bool is_duplicate_key(struct fy_node *map, struct fy_node_pair *pair, const char *name)
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

/* Find a key in a table; NULL if it is not in it. */
static const struct key *find_key(const struct key *keys, size_t len, const char *name)
{
	for (size_t i = 0; i < len; i++) {
		if (strcmp(keys[i].name, name) == 0)
			return &keys[i];
	}
	return NULL;
}

/* Parse the value of one pair by its key's entry in the table, NULL for an unknown key. */
static void parse_pair(struct parser *p, const struct key *k, const char *name,
	struct fy_node_pair *pair, void *dest)
{
	struct fy_node *value = fy_node_pair_value(pair);
	const char *text;

	if (k == NULL) {
		add_problem(p, name, "unknown key");
		return;
	}
	if (k->type == KEY_NESTED) {
		p->name = k->name;
		k->nested(p, value, dest);
		return;
	}
	text = value != NULL ? fy_node_get_scalar0(value) : NULL;
	if (text == NULL) {
		add_problem(p, name, "a single value is needed");
		return;
	}
	set_position(p, value);
	parse_scalar(p, k, text, dest);
}

/* Parse a mapping by a table of its keys and report the missing ones. */
static void parse_keys(
	struct parser *p, struct fy_node *map, const struct key *keys, size_t len, void *dest)
{
	int line = p->line;
	int column = p->column;
	uint64_t keys_found = 0;
	struct fy_node_pair *pair;
	void *it = NULL;

	if (map == NULL || fy_node_get_type(map) != FYNT_MAPPING) {
		add_problem(p, p->name, "keys and values are needed here");
		return;
	}
	while ((pair = fy_node_mapping_iterate(map, &it)) != NULL) {
		const char *name = key_text(p, pair);
		const struct key *k;

		if (name == NULL)
			continue;
		k = find_key(keys, len, name);
		if (is_duplicate_key(map, pair, name)) {
			add_problem(p, name, "the key is there twice");
			continue;
		}
		if (k != NULL)
			keys_found |= UINT64_C(1) << (k - keys);
		parse_pair(p, k, name, pair, dest);
	}
	for (size_t i = 0; i < len; i++) {
		if (keys[i].required && !(keys_found >> i & 1))
			doc_problem_add(p->problems, p->section->name, line, column,
				keys[i].name, "the key is missing");
	}
}

/* Return whether a name is safe to use in store keys, URL paths and log lines. */
static bool is_valid_name(const char *name)
{
	size_t len = strlen(name);

	return len > 0 && len < JOB_NAME_MAX && g_ascii_isalnum(name[0]) &&
	       strspn(name,
		       "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.") ==
		       len;
}

/* Parses the value of one named entry. */
typedef void parse_entry_fn(
	struct parser *p, const char *name, struct fy_node *value, void *dest);

/* Parse a mapping with names as keys; calls fn for each valid entry. */
static void parse_named(struct parser *p, struct fy_node *map, parse_entry_fn *fn, void *dest)
{
	struct fy_node_pair *pair;
	void *it = NULL;

	if (map == NULL || fy_node_get_type(map) != FYNT_MAPPING) {
		add_problem(p, p->name, "a mapping of names is needed here");
		return;
	}
	while ((pair = fy_node_mapping_iterate(map, &it)) != NULL) {
		const char *name = key_text(p, pair);

		if (name == NULL)
			continue;
		if (!is_valid_name(name))
			add_problem(
				p, name, "a name has letters, digits, '-', '_' and '.' only");
		else if (is_duplicate_key(map, pair, name))
			add_problem(p, name, "the name is there twice");
		else
			fn(p, name, fy_node_pair_value(pair), dest);
	}
}

/* Parse "guarantees", an organisation's list of guaranteed shapes. */
static void parse_guarantees(struct parser *p, struct fy_node *list, void *dest)
{
	static const struct key keys[] = {
		{"accelerators", KEY_COUNT, true, 1, ACCELERATORS_MAX,
			offsetof(struct doc_guarantee, accelerators), NULL},
		{"within", KEY_ADJACENCY, true, 0, 0, offsetof(struct doc_guarantee, adjacency),
			NULL},
		{"count", KEY_COUNT, false, 1, WORKERS_MAX,
			offsetof(struct doc_guarantee, count), NULL},
	};
	struct doc_org *o = dest;
	struct fy_node *item;
	void *it = NULL;

	if (list == NULL || fy_node_get_type(list) != FYNT_SEQUENCE) {
		add_problem(p, "guarantees", "a list of shapes is needed here");
		return;
	}
	while ((item = fy_node_sequence_iterate(list, &it)) != NULL) {
		struct doc_guarantee *g = xcalloc(1, sizeof(*g));

		g->count = 1;
		parse_keys(p, item, keys, ARRAY_LEN(keys), g);
		g->where = current_location(p);
		STAILQ_INSERT_TAIL(&o->guarantees, g, entry);
	}
}

/* Parse "quota": the most accelerators and jobs of an organisation. */
static void parse_quota(struct parser *p, struct fy_node *value, void *dest)
{
	static const struct key keys[] = {
		{"accelerators", KEY_COUNT, false, 0, QUOTA_ACCELERATORS_MAX,
			offsetof(struct doc_org, quota_accelerators), NULL},
		{"jobs", KEY_COUNT, false, 1, QUOTA_JOBS_MAX,
			offsetof(struct doc_org, quota_jobs), NULL},
	};

	parse_keys(p, value, keys, ARRAY_LEN(keys), dest);
}

/* Parse "limits": the rate limit on an organisation's submissions. */
static void parse_limits(struct parser *p, struct fy_node *value, void *dest)
{
	static const struct key keys[] = {
		{"rate", KEY_COUNT, true, 1, RATE_MAX,
			offsetof(struct doc_org, rate_per_second), NULL},
		{"burst", KEY_COUNT, false, 1, BURST_JOBS_MAX,
			offsetof(struct doc_org, rate_burst), NULL},
	};

	parse_keys(p, value, keys, ARRAY_LEN(keys), dest);
}

/* Parse one organisation of a team; dest is the team's name. */
static void parse_org(struct parser *p, const char *name, struct fy_node *value, void *dest)
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
		add_problem(p, name, "team %s has an organisation of this name", other->team);
		return;
	}
	o = xcalloc(1, sizeof(*o));
	o->name = xstrdup(name);
	o->team = xstrdup(dest);
	o->where = current_location(p);
	o->index = p->doc->orgs_len++;
	STAILQ_INIT(&o->guarantees);
	STAILQ_INSERT_TAIL(&p->doc->orgs, o, entry);
	if (value != NULL && fy_node_get_type(value) != FYNT_SCALAR)
		parse_keys(p, value, keys, ARRAY_LEN(keys), o);
}

/* Parse "organisations", the mapping of a team's organisations. */
static void parse_orgs(struct parser *p, struct fy_node *value, void *dest)
{
	struct doc_team *t = dest;

	parse_named(p, value, parse_org, t->name);
}

/* Parse one cell's declared topology. */
static void parse_cell(struct parser *p, const char *name, struct fy_node *value, void *dest)
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

	(void)dest;
	c->name = xstrdup(name);
	STAILQ_INSERT_TAIL(&p->doc->cells, c, entry);
	parse_keys(p, value, keys, ARRAY_LEN(keys), c);
}

/* Parse "cells", the mapping of all cells. */
static void parse_cells(struct parser *p, struct fy_node *value, void *dest)
{
	(void)dest;
	parse_named(p, value, parse_cell, NULL);
}

/* Parse one job class. */
static void parse_class(struct parser *p, const char *name, struct fy_node *value, void *dest)
{
	static const struct key keys[] = {
		{"priority", KEY_COUNT, true, 0, DOC_CLASS_PRIORITY_MAX,
			offsetof(struct doc_class, priority), NULL},
		{"urgent", KEY_BOOL, false, 0, 0, offsetof(struct doc_class, urgent), NULL},
		{"start_within", KEY_DURATION, false, START_WITHIN_MIN_S, START_WITHIN_MAX_S,
			offsetof(struct doc_class, start_within), NULL},
		{"queue_max", KEY_COUNT, false, 1, QUEUE_JOBS_MAX,
			offsetof(struct doc_class, queue_max), NULL},
	};
	struct doc_class *c = xcalloc(1, sizeof(*c));

	(void)dest;
	c->name = xstrdup(name);
	STAILQ_INSERT_TAIL(&p->doc->classes, c, entry);
	parse_keys(p, value, keys, ARRAY_LEN(keys), c);
}

/* Parse "classes", the mapping of all job classes. */
static void parse_classes(struct parser *p, struct fy_node *value, void *dest)
{
	(void)dest;
	parse_named(p, value, parse_class, NULL);
}

/* Parse the section "cluster", which the operators own. */
static void parse_cluster(struct parser *p, struct fy_node *root)
{
	static const struct key keys[] = {
		{"grace", KEY_DURATION, false, GRACE_MIN_S, GRACE_MAX_S,
			offsetof(struct doc, grace), NULL},
		{"completion_weight", KEY_FRACTION, false, 0, 1,
			offsetof(struct doc, weight_completion), NULL},
		{"queue_max", KEY_COUNT, false, 1, QUEUE_JOBS_MAX,
			offsetof(struct doc, queue_max), NULL},
		{"payload_max", KEY_BYTES, false, PAYLOAD_MAX_MIN_BYTES, JOB_PAYLOAD_MAX,
			offsetof(struct doc, payload_max), NULL},
		{"operators", KEY_DIGEST, false, 0, 0, offsetof(struct doc, operators_digest),
			NULL},
		{"cells", KEY_NESTED, true, 0, 0, 0, parse_cells},
		{"classes", KEY_NESTED, true, 0, 0, 0, parse_classes},
	};

	p->name = "cluster";
	parse_keys(p, root, keys, ARRAY_LEN(keys), p->doc);
}

/* Parse the section of one team. */
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

/* Build a YAML document. Adds a problem and returns NULL on a syntax error. */
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
		add_problem(p, NULL, "not valid YAML: %s", e != NULL ? e->msg : "syntax error");
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
	else if (g_str_has_prefix(name, "teams/") && is_valid_name(name + 6))
		parse_team(p, fy_document_root(fyd), name + 6);
	else
		add_problem(p, name, "a section is 'cluster' or 'teams/NAME'");
	fy_document_destroy(fyd);
}

/* Parse all sections into one document. The caller frees it, even if there are problems. */
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

/* Free a section; a GDestroyNotify for arrays of sections. */
void doc_section_free(void *section)
{
	struct doc_section *s = section;

	if (s == NULL)
		return;
	free(s->name);
	free(s->text);
	free(s);
}

/*
 * Copy the lines from first up to, not including, end (-1 for the rest of the text), with up to
 * indent leading spaces removed from each. Lines count from 0, as in libfyaml's marks and in
 * all functions below; only doc_section.first_line counts from 1.
 */
static char *slice_lines(const char *text, int first, int end, int indent)
{
	GString *out = g_string_new(NULL);
	g_auto(GStrv) lines = g_strsplit(text, "\n", -1);
	char *copy;

	for (int i = 0; lines[i] != NULL && (end < 0 || i < end); i++) {
		const char *line = lines[i];
		int skip = 0;

		if (i < first)
			continue;
		while (skip < indent && line[skip] == ' ')
			skip++;
		g_string_append(out, line + skip);
		if (lines[i + 1] != NULL)
			g_string_append_c(out, '\n');
	}
	copy = xstrdup(out->str);
	g_string_free(out, TRUE);
	return copy;
}

/* Return where a pair's key starts; NULL if it is not a scalar. */
static const struct fy_mark *key_mark(struct fy_node_pair *pair)
{
	struct fy_node *key = fy_node_pair_key(pair);
	struct fy_token *t = key != NULL ? fy_node_get_scalar_token(key) : NULL;

	return t != NULL ? fy_token_start_mark(t) : NULL;
}

/*
 * Add a pair's value as a section. Block-style text is copied up to, not including, the line
 * next_line (-1 for the end of the file), so that positions in the section map to those in the
 * file. Values in flow style or on the line of their key are emitted anew.
 */
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
		char *emitted =
			value != NULL ? fy_emit_node_to_string(value, FYECF_DEFAULT) : NULL;

		s->text = xstrdup(emitted != NULL ? emitted : "");
		free(emitted);
		s->first_line = mark->line + 1;
	}
	g_ptr_array_add(sections, s);
}

/* Return the line of the next pair in the mapping, or end for the last pair. */
static int next_pair_line(struct fy_node *map, struct fy_node_pair *pair, int end)
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

/* Add a section for each entry of "teams". */
static void split_teams(
	struct parser *p, GPtrArray *sections, const char *text, struct fy_node *teams, int end)
{
	struct fy_node_pair *pair;
	void *it = NULL;

	if (teams == NULL || fy_node_get_type(teams) != FYNT_MAPPING) {
		add_problem(p, "teams", "a mapping of names is needed here");
		return;
	}
	while ((pair = fy_node_mapping_iterate(teams, &it)) != NULL) {
		const char *name = key_text(p, pair);
		AUTOFREE char *section_name = NULL;

		if (name == NULL)
			continue;
		if (is_duplicate_key(teams, pair, name)) {
			add_problem(p, name, "the name is there twice");
			continue;
		}
		xasprintf(&section_name, "teams/%s", name);
		add_section(
			sections, text, section_name, pair, next_pair_line(teams, pair, end));
	}
}

/* Split a whole document into sections; false if there are problems. */
bool doc_split_sections(const char *text, GPtrArray *sections, struct doc_problems *problems)
{
	struct doc_section whole_text = {.name = "document", .first_line = 1};
	struct parser p = {.section = &whole_text,
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
			add_problem(&p, NULL, "the document needs the keys cluster and teams");
		fy_document_destroy(fyd);
		return false;
	}
	while ((pair = fy_node_mapping_iterate(root, &it)) != NULL) {
		const char *name = key_text(&p, pair);
		int end = next_pair_line(root, pair, -1);

		if (name != NULL && is_duplicate_key(root, pair, name))
			add_problem(&p, name, "the key is there twice");
		else if (name != NULL && strcmp(name, "cluster") == 0)
			add_section(sections, text, name, pair, end);
		else if (name != NULL && strcmp(name, "teams") == 0)
			split_teams(&p, sections, text, fy_node_pair_value(pair), end);
		else if (name != NULL)
			add_problem(&p, name, "unknown key");
	}
	fy_document_destroy(fyd);
	return STAILQ_EMPTY(problems);
}
