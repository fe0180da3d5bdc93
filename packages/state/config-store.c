#include "state.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

/*
 * The head key lists each section with the number of the edit that wrote it. An edit writes the
 * head, the section and an audit entry in one transaction that is conditional on the head being
 * unchanged, so that the edit is validated against the document it is applied to. The head key
 * is below "live/", see STORE_PREFIX.
 */

#define HEAD_KEY	  STORE_PREFIX "live/head"
#define SECTION_PREFIX	  STORE_PREFIX "config/section/"
#define AUDIT_PREFIX	  STORE_PREFIX "config/audit/"
#define AUDIT_ENTRIES_MAX 500
#define PUT_ATTEMPTS_MAX  16
#define LOAD_ATTEMPTS_MAX 8
#define TOKEN_BYTES	  8

/* Find a section of a snapshot by name; NULL if it does not exist. */
const struct doc_section *config_find_section(
	const struct config_snapshot *c, const char *section)
{
	for (guint i = 0; c->sections != NULL && i < c->sections->len; i++) {
		const struct doc_section *s = c->sections->pdata[i];

		if (strcmp(s->name, section) == 0)
			return s;
	}
	return NULL;
}

/* Release the sections of a snapshot and reset it. */
void config_snapshot_clear(struct config_snapshot *c)
{
	if (c->sections != NULL)
		g_ptr_array_unref(c->sections);
	memset(c, 0, sizeof(*c));
}

/* Make a deep copy of a snapshot, so that another thread can update the copy. */
void config_snapshot_copy(struct config_snapshot *to, const struct config_snapshot *from)
{
	*to = *from;
	if (from->sections == NULL)
		return;
	to->sections = g_ptr_array_new_with_free_func(doc_section_free);
	for (guint i = 0; i < from->sections->len; i++) {
		const struct doc_section *s = from->sections->pdata[i];
		struct doc_section *copy = xcalloc(1, sizeof(*copy));

		*copy = *s;
		copy->name = xstrdup(s->name);
		copy->text = xstrdup(s->text);
		g_ptr_array_add(to->sections, copy);
	}
}

/* Read a key as JSON; returns NULL if the key is absent or an error is set. */
static json_t *read_json(struct store *s, const char *key, int64_t *mod_revision, GError **err)
{
	struct store_range r;
	json_t *o = NULL;

	*mod_revision = 0;
	if (!store_get_range(s, key, true, &r, err))
		return NULL;
	if (r.len == 1) {
		*mod_revision = r.kvs[0].mod_revision;
		o = json_loadb(r.kvs[0].value.data, r.kvs[0].value.len, 0, NULL);
		if (o == NULL)
			error_set(err, ERR_INTERNAL, "the key %s does not hold JSON", key);
	}
	store_range_clear(&r);
	return o;
}

/* Allocate a section whose text starts on line 1. */
static struct doc_section *section_new(const char *name, const char *text, uint64_t number)
{
	struct doc_section *s = xcalloc(1, sizeof(*s));

	s->name = xstrdup(name);
	s->text = xstrdup(text);
	s->number = number;
	s->first_line = 1;
	return s;
}

/*
 * Read one section and append it. *changed is set if the stored section no longer has the
 * expected number because of a concurrent edit.
 */
static bool load_section(struct store *s, const char *name, uint64_t number,
	GPtrArray *sections, bool *changed, GError **err)
{
	AUTOFREE char *key = NULL;
	int64_t revision;
	json_t *o;

	xasprintf(&key, "%s%s", SECTION_PREFIX, name);
	o = read_json(s, key, &revision, err);
	if (o == NULL && err != NULL && *err != NULL)
		return false;
	*changed = o == NULL ||
		   (uint64_t)json_integer_value(json_object_get(o, "number")) != number;
	if (!*changed)
		g_ptr_array_add(sections,
			section_new(
				name, json_string_value(json_object_get(o, "text")), number));
	json_decref(o);
	return true;
}

/*
 * Collect the sections that the head lists: unchanged ones from the old snapshot, the others
 * from the store.
 */
static bool load_sections(struct store *s, const struct config_snapshot *old, json_t *names,
	GPtrArray *sections, bool *changed, GError **err)
{
	const char *name;
	json_t *value;

	json_object_foreach(names, name, value) {
		uint64_t number = (uint64_t)json_integer_value(value);
		const struct doc_section *have = config_find_section(old, name);

		if (have != NULL && have->number == number)
			g_ptr_array_add(sections, section_new(name, have->text, number));
		else if (!load_section(s, name, number, sections, changed, err))
			return false;
		if (*changed)
			return true;
	}
	return true;
}

/*
 * Update a snapshot from the store; a zeroed snapshot is loaded in full. Reads the head, then
 * only the sections that changed. Fails with ERR_CONFLICT if the head has a lower number than
 * the snapshot, as the configuration must never go back to an older version, or if concurrent
 * edits prevent a consistent read.
 */
bool config_load(struct store *s, struct config_snapshot *snapshot, GError **err)
{
	for (int i = 0; i < LOAD_ATTEMPTS_MAX; i++) {
		g_autoptr(GError) local_err = NULL;
		GPtrArray *sections;
		int64_t revision;
		json_t *head = read_json(s, HEAD_KEY, &revision, &local_err);
		uint64_t number = (uint64_t)json_integer_value(json_object_get(head, "number"));
		bool changed = false;
		bool ok;

		if (local_err != NULL) {
			g_propagate_error(err, g_steal_pointer(&local_err));
			return false;
		}
		if (number < snapshot->number) {
			json_decref(head);
			error_set(err, ERR_CONFLICT,
				"the store's configuration %" PRIu64
				" is older than ours, %" PRIu64,
				number, snapshot->number);
			return false;
		}
		if (revision == snapshot->head_revision && snapshot->sections != NULL) {
			json_decref(head);
			return true;
		}
		sections = g_ptr_array_new_with_free_func(doc_section_free);
		ok = load_sections(s, snapshot, json_object_get(head, "sections"), sections,
			&changed, err);
		json_decref(head);
		if (ok && !changed) {
			config_snapshot_clear(snapshot);
			snapshot->sections = sections;
			snapshot->head_revision = revision;
			snapshot->number = number;
			return true;
		}
		g_ptr_array_unref(sections);
		if (!ok)
			return false;
	}
	error_set(err, ERR_CONFLICT, "the configuration changes too fast to be read");
	return false;
}

/*
 * Parse the document with the edit applied. If the document had a cluster section before the
 * edit, also check the rules that span sections; so the edit that adds the cluster section is
 * not checked against them, and the edit that removes it is. Returns false if there are
 * problems.
 */
static bool check_edit(const struct config_snapshot *c, const struct config_edit *edit,
	struct doc_problems *problems)
{
	GArray *all = g_array_new(FALSE, TRUE, sizeof(struct doc_section));
	struct doc_section edited = {
		.name = (char *)edit->section, .text = (char *)edit->text, .first_line = 1};
	struct doc *d;

	for (guint i = 0; i < c->sections->len; i++) {
		const struct doc_section *s = c->sections->pdata[i];

		if (strcmp(s->name, edit->section) != 0)
			g_array_append_val(all, *s);
	}
	if (*edit->text != '\0')
		g_array_append_val(all, edited);
	d = doc_parse_sections((struct doc_section *)all->data, all->len, problems);
	if (STAILQ_EMPTY(problems) && config_find_section(c, "cluster") != NULL)
		doc_check(d, problems);
	doc_free(d);
	g_array_unref(all);
	return STAILQ_EMPTY(problems);
}

/* Build the head that results from an edit. */
static json_t *next_head(const struct config_snapshot *c, const struct config_edit *edit,
	uint64_t number, const char *token)
{
	json_t *sections = json_object();

	for (guint i = 0; i < c->sections->len; i++) {
		const struct doc_section *s = c->sections->pdata[i];

		json_object_set_new(sections, s->name, json_integer((json_int_t)s->number));
	}
	if (*edit->text != '\0')
		json_object_set_new(sections, edit->section, json_integer((json_int_t)number));
	else
		json_object_del(sections, edit->section);
	return json_pack("{s:I,s:s,s:o}", "number", (json_int_t)number, "token", token,
		"sections", sections);
}

/* Build the audit entry of an edit. */
static json_t *audit_entry(const struct config_edit *edit, uint64_t number, const char *token)
{
	AUTOFREE char *when = clock_format_wall(edit->wall_ns);

	return json_pack("{s:s,s:s,s:s,s:s,s:I,s:I,s:s}", "what",
		*edit->text != '\0' ? "config.set" : "config.remove", "when", when, "who",
		edit->who, "section", edit->section, "from", (json_int_t)edit->base, "to",
		(json_int_t)number, "token", token);
}

/* Write the head, the section and the audit entry if the head is unchanged. */
static bool write_edit(struct store *s, const struct config_snapshot *c,
	const struct config_edit *edit, uint64_t number, const char *token, bool *succeeded,
	GError **err)
{
	json_t *head = next_head(c, edit, number, token);
	json_t *section =
		json_pack("{s:I,s:s}", "number", (json_int_t)number, "text", edit->text);
	json_t *audit = audit_entry(edit, number, token);
	AUTOFREE char *head_text = json_dumps(head, JSON_COMPACT);
	AUTOFREE char *section_text = json_dumps(section, JSON_COMPACT);
	AUTOFREE char *audit_text = json_dumps(audit, JSON_COMPACT);
	AUTOFREE char *section_key = NULL;
	AUTOFREE char *audit_key = NULL;
	AUTOFREE char *old_key = NULL;
	struct store_compare compare = {HEAD_KEY, STORE_MOD_REVISION, c->head_revision};
	struct store_op ops[4];
	struct store_txn txn = {.compares = &compare, .compares_len = 1, .ops = ops};
	int64_t revision;

	json_decref(head);
	json_decref(section);
	json_decref(audit);
	xasprintf(&section_key, "%s%s", SECTION_PREFIX, edit->section);
	xasprintf(&audit_key, "%s%010" PRIu64, AUDIT_PREFIX, number);
	ops[0] = (struct store_op){STORE_PUT, HEAD_KEY, head_text, strlen(head_text), 0};
	ops[1] = (struct store_op){
		STORE_PUT, section_key, section_text, strlen(section_text), 0};
	if (*edit->text == '\0')
		ops[1] = (struct store_op){.kind = STORE_DELETE, .key = section_key};
	ops[2] = (struct store_op){STORE_PUT, audit_key, audit_text, strlen(audit_text), 0};
	txn.ops_len = 3;
	if (number > AUDIT_ENTRIES_MAX) {
		xasprintf(&old_key, "%s%010" PRIu64, AUDIT_PREFIX, number - AUDIT_ENTRIES_MAX);
		ops[3] = (struct store_op){.kind = STORE_DELETE, .key = old_key};
		txn.ops_len = 4;
	}
	return store_run_txn(s, &txn, succeeded, &revision, err);
}

/* After a lost response, look for the edit's token in the audit entry. */
static bool verify_edit(
	struct store *s, uint64_t number, const char *token, bool *written, GError **err)
{
	g_autoptr(GError) local_err = NULL;
	AUTOFREE char *key = NULL;
	const char *found;
	int64_t revision;
	json_t *o;

	xasprintf(&key, "%s%010" PRIu64, AUDIT_PREFIX, number);
	o = read_json(s, key, &revision, &local_err);
	if (local_err != NULL) {
		error_set(err, ERR_STORE_UNSURE,
			"the store did not say whether the edit was written: look at config "
			"history");
		return false;
	}
	found = json_string_value(json_object_get(o, "token"));
	*written = found != NULL && strcmp(found, token) == 0;
	json_decref(o);
	return true;
}

/* Report the current version of a section after a conflict. */
static void report_current(const struct doc_section *now, struct doc_section *current)
{
	if (current == NULL)
		return;
	current->number = now != NULL ? now->number : 0;
	current->text = xstrdup(now != NULL ? now->text : "");
}

/*
 * Replace a section; empty text removes it. Edits that conflict only with edits of other
 * sections are retried. Errors:
 *   ERR_CONFLICT: the section was last written by another edit than edit->base; *current is
 *     set to its number and text
 *   ERR_INVALID: the resulting document is not valid; problems lists the reasons
 *   ERR_STORE_UNSURE: the edit may have been written or not
 *   ERR_OVERLOAD: still conflicting after PUT_ATTEMPTS_MAX attempts
 */
bool config_put(struct store *s, const struct config_edit *edit, uint64_t *number,
	struct doc_problems *problems, struct doc_section *current, GError **err)
{
	AUTOFREE char *token = random_hex(TOKEN_BYTES);
	struct config_snapshot c = {0};
	bool done = false;

	for (int i = 0; i < PUT_ATTEMPTS_MAX && !done; i++) {
		g_autoptr(GError) local_err = NULL;
		const struct doc_section *now;

		if (!config_load(s, &c, err))
			break;
		now = config_find_section(&c, edit->section);
		if ((now != NULL ? now->number : 0) != edit->base) {
			report_current(now, current);
			error_set(err, ERR_CONFLICT,
				"section %s was changed by edit %" PRIu64 " since %" PRIu64,
				edit->section, now != NULL ? now->number : 0, edit->base);
			break;
		}
		if (!check_edit(&c, edit, problems)) {
			error_set(err, ERR_INVALID, "the section is not valid");
			break;
		}
		*number = c.number + 1;
		if (write_edit(s, &c, edit, *number, token, &done, &local_err))
			continue;
		if (error_kind_of(local_err) != ERR_STORE_UNSURE) {
			g_propagate_error(err, g_steal_pointer(&local_err));
			break;
		}
		if (!verify_edit(s, *number, token, &done, err))
			break;
	}
	config_snapshot_clear(&c);
	/* error_set keeps an error that is set above. */
	if (!done)
		error_set(err, ERR_OVERLOAD, "too many edits at once");
	return done;
}

/* Read the audit entries of edits, oldest first. */
json_t *config_history(struct store *s, GError **err)
{
	struct store_range r;
	json_t *out;

	if (!store_get_range(s, AUDIT_PREFIX, false, &r, err))
		return NULL;
	out = json_array();
	for (size_t i = 0; i < r.len; i++) {
		json_t *o = json_loadb(r.kvs[i].value.data, r.kvs[i].value.len, 0, NULL);

		json_object_del(o, "token");
		json_array_append_new(out, o);
	}
	store_range_clear(&r);
	return out;
}

/* Parse all sections of a snapshot. Logs the first problem and returns NULL on failure. */
struct doc *config_parse(const struct config_snapshot *c)
{
	struct doc_problems problems = STAILQ_HEAD_INITIALIZER(problems);
	GArray *all = g_array_new(FALSE, TRUE, sizeof(struct doc_section));
	struct doc *d;

	for (guint i = 0; i < c->sections->len; i++)
		g_array_append_vals(all, c->sections->pdata[i], 1);
	d = doc_parse_sections((struct doc_section *)all->data, all->len, &problems);
	d->number = c->number;
	g_array_unref(all);
	if (!STAILQ_EMPTY(&problems)) {
		log_error("config",
			"The stored configuration %" PRIu64 " is not valid: %s: %s.", c->number,
			STAILQ_FIRST(&problems)->section, STAILQ_FIRST(&problems)->rule);
		doc_problems_clear(&problems);
		doc_free(d);
		return NULL;
	}
	return d;
}
