#include "entry-private.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

/*
 * The data of a store call, run on the pool, that is made for an HTTP request. base is the
 * number of the section's version that was edited, 0 for a new section.
 */
struct store_request {
	struct entry *entry;
	struct http_request *request;
	char *section;
	char *text;
	char *who;
	uint64_t base;
};

/* Frees a store request. */
static void store_request_free(struct store_request *w)
{
	free(w->section);
	free(w->text);
	free(w->who);
	free(w);
}

/* Answers with a JSON document and releases it. */
static void reply_json(struct http_request *r, json_t *o)
{
	AUTOFREE char *text = json_dumps(o, JSON_COMPACT);

	json_decref(o);
	http_reply_text(r, 200, "application/json", text);
}

/*
 * Answers an edit that was rejected: with the problems found in it or, on a conflict, with the
 * current section beside the submitted one.
 */
static void reply_edit_rejected(struct http_request *r, const GError *err,
	const struct doc_problems *problems, const struct doc_section *current,
	const char *submitted)
{
	AUTOFREE char *text = NULL;
	json_t *extra = json_object();
	char *brace;

	if (!STAILQ_EMPTY(problems))
		json_object_set_new(extra, "problems", doc_problems_json(problems));
	if (current->text != NULL) {
		json_object_set_new(
			extra, "current_number", json_integer((json_int_t)current->number));
		json_object_set_new(extra, "current", json_string(current->text));
		json_object_set_new(extra, "yours", json_string(submitted));
	}
	text = json_dumps(extra, JSON_COMPACT);
	json_decref(extra);
	if (strcmp(text, "{}") == 0) {
		http_reply_error(r, err);
		return;
	}
	/* Extra members start with a comma and have no braces. */
	brace = text;
	*brace = ',';
	text[strlen(text) - 1] = '\0';
	http_reply_problem(r, error_kind_of(err), err->message, text);
}

/* Callback of loop_post: calls config_reload on the loop. */
static void config_reload_cb(void *arg)
{
	config_reload(arg);
}

/* Writes an edit to the store. Runs on the pool. */
static void put_section_run(void *arg)
{
	struct store_request *w = arg;
	struct entry *e = w->entry;
	struct doc_problems problems = STAILQ_HEAD_INITIALIZER(problems);
	struct config_edit edit = {.section = w->section,
		.text = w->text,
		.base = w->base,
		.who = w->who,
		.wall_ns = clock_wall(loop_clock(e->p->loop))};
	struct doc_section current = {0};
	g_autoptr(GError) err = NULL;
	uint64_t number = 0;

	if (config_put(e->p->store, &edit, &number, &problems, &current, &err)) {
		log_info("entry", "Section %s was changed by %s in edit %" PRIu64 ".",
			w->section, w->who, number);
		loop_post(e->p->loop, config_reload_cb, e);
		reply_json(w->request, json_pack("{s:s,s:I}", "section", w->section, "number",
					       (json_int_t)number));
	} else {
		reply_edit_rejected(w->request, err, &problems, &current, w->text);
	}
	free(current.text);
	doc_problems_clear(&problems);
	store_request_free(w);
}

/* Reads the history of edits. Runs on the pool. */
static void history_run(void *arg)
{
	struct store_request *w = arg;
	g_autoptr(GError) err = NULL;
	json_t *o = config_history(w->entry->p->store, &err);

	if (o != NULL)
		reply_json(w->request, o);
	else
		http_reply_error(w->request, err);
	store_request_free(w);
}

/* GET /v1/config: the sections in force, with the number of each one's last edit. */
static void list_sections(struct http_request *r, const struct entry_view *v)
{
	json_t *sections = json_array();

	for (guint i = 0; i < v->config.sections->len; i++) {
		const struct doc_section *s = v->config.sections->pdata[i];

		json_array_append_new(sections, json_pack("{s:s,s:I}", "section", s->name,
							"number", (json_int_t)s->number));
	}
	reply_json(r, json_pack("{s:I,s:o}", "number", (json_int_t)v->config.number, "sections",
			      sections));
}

/* GET /v1/config/SECTION. */
static void get_section(struct http_request *r, const struct entry_view *v, const char *section)
{
	const struct doc_section *s = config_find_section(&v->config, section);

	if (s == NULL) {
		http_reply_problem(r, ERR_NOT_FOUND, "there is no such section", NULL);
		return;
	}
	reply_json(r, json_pack("{s:s,s:I,s:s}", "section", s->name, "number",
			      (json_int_t)s->number, "text", s->text));
}

/* GET /v1/config-status: the configuration in force in this process. */
static void get_status(struct entry *e, struct http_request *r, const struct entry_view *v)
{
	int64_t age = clock_now(loop_clock(e->p->loop)) -
		      __atomic_load_n(&e->config_loaded_at, __ATOMIC_RELAXED);

	reply_json(r, json_pack("{s:s,s:s,s:I,s:I,s:b,s:i}", "process", e->name, "role",
			      "entry", "number", (json_int_t)v->config.number, "checked_ms_ago",
			      (json_int_t)(age / NSEC_PER_MSEC), "store",
			      __atomic_load_n(&e->store_up, __ATOMIC_RELAXED), "entries",
			      (int)v->entries_count));
}

/* PUT /v1/config/SECTION?base=N&who=NAME. N is the number of the version that was edited. */
static void put_section(struct entry *e, struct http_request *r, const struct entry_view *v,
	const char *section)
{
	const char *base = http_query(r, "base");
	const char *who = http_query(r, "who");
	struct store_request *w;

	if (!auth_section_edit(r, v->doc, section)) {
		http_reply_problem(r, ERR_UNAUTHORISED,
			"a token of the section's team or an operator's is needed", NULL);
		return;
	}
	if (strlen(http_body(r)->data ? http_body(r)->data : "") != http_body(r)->len) {
		http_reply_problem(r, ERR_INVALID, "the section must be text", NULL);
		return;
	}
	w = xcalloc(1, sizeof(*w));
	w->entry = e;
	w->request = r;
	w->section = xstrdup(section);
	w->text = xstrdup(http_body(r)->data);
	w->who = xstrdup(who != NULL && strlen(who) < JOB_NAME_MAX ? who : "unnamed");
	w->base = base != NULL ? strtoull(base, NULL, 10) : 0;
	work_submit(e->p->pool, put_section_run, NULL, w);
}

/* Handles requests for the configuration; false for other paths. */
bool config_request(struct entry *e, struct http_request *r, const struct entry_view *v)
{
	const char *path = http_path(r);
	bool get = strcmp(http_method(r), "GET") == 0;

	if (strcmp(path, "/v1/config") == 0 && get) {
		list_sections(r, v);
	} else if (g_str_has_prefix(path, "/v1/config/") && get) {
		get_section(r, v, path + strlen("/v1/config/"));
	} else if (g_str_has_prefix(path, "/v1/config/") &&
		   strcmp(http_method(r), "PUT") == 0) {
		put_section(e, r, v, path + strlen("/v1/config/"));
	} else if (strcmp(path, "/v1/config-status") == 0 && get) {
		get_status(e, r, v);
	} else if (strcmp(path, "/v1/config-history") == 0 && get) {
		struct store_request *w = xcalloc(1, sizeof(*w));

		w->entry = e;
		w->request = r;
		work_submit(e->p->pool, history_run, NULL, w);
	} else {
		return false;
	}
	return true;
}
