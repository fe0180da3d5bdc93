#include "state.h"

#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

#define GRACE_DEFAULT_NS	  (5 * NSEC_PER_SEC)
#define COMPLETION_WEIGHT_DEFAULT 0.5  /* from 0 to 1, see weight_completion */
#define QUEUE_MAX_DEFAULT_JOBS	  2000 /* of one organisation */
#define PAYLOAD_MAX_DEFAULT_BYTES (256 * 1024)

/* Create a document with the default settings and empty lists. */
struct doc *doc_new(void)
{
	struct doc *d = xcalloc(1, sizeof(*d));

	d->grace = GRACE_DEFAULT_NS;
	d->weight_completion = COMPLETION_WEIGHT_DEFAULT;
	d->queue_max = QUEUE_MAX_DEFAULT_JOBS;
	d->payload_max = PAYLOAD_MAX_DEFAULT_BYTES;
	STAILQ_INIT(&d->classes);
	STAILQ_INIT(&d->cells);
	STAILQ_INIT(&d->teams);
	STAILQ_INIT(&d->orgs);
	return d;
}

/* Free an organisation and its guarantees. */
static void org_free(struct doc_org *o)
{
	struct doc_guarantee *g;

	while ((g = STAILQ_FIRST(&o->guarantees)) != NULL) {
		STAILQ_REMOVE_HEAD(&o->guarantees, entry);
		free(g->where.section);
		free(g);
	}
	free(o->name);
	free(o->team);
	free(o->token_digest);
	free(o->where.section);
	free(o);
}

/* Free a document; NULL is allowed. */
void doc_free(struct doc *d)
{
	struct doc_class *c;
	struct doc_cell *cell;
	struct doc_team *t;
	struct doc_org *o;

	if (d == NULL)
		return;
	while ((c = STAILQ_FIRST(&d->classes)) != NULL) {
		STAILQ_REMOVE_HEAD(&d->classes, entry);
		free(c->name);
		free(c);
	}
	while ((cell = STAILQ_FIRST(&d->cells)) != NULL) {
		STAILQ_REMOVE_HEAD(&d->cells, entry);
		free(cell->name);
		free(cell);
	}
	while ((t = STAILQ_FIRST(&d->teams)) != NULL) {
		STAILQ_REMOVE_HEAD(&d->teams, entry);
		free(t->name);
		free(t->token_digest);
		free(t);
	}
	while ((o = STAILQ_FIRST(&d->orgs)) != NULL) {
		STAILQ_REMOVE_HEAD(&d->orgs, entry);
		org_free(o);
	}
	free(d->operators_digest);
	free(d);
}

/* Find an organisation by name; NULL if there is none. */
const struct doc_org *doc_find_org(const struct doc *d, const char *name)
{
	const struct doc_org *o;

	STAILQ_FOREACH(o, &d->orgs, entry)
	{
		if (strcmp(o->name, name) == 0)
			return o;
	}
	return NULL;
}

/* Find a class by name; NULL if there is none. */
const struct doc_class *doc_find_class(const struct doc *d, const char *name)
{
	const struct doc_class *c;

	STAILQ_FOREACH(c, &d->classes, entry)
	{
		if (strcmp(c->name, name) == 0)
			return c;
	}
	return NULL;
}

/* Find a team by name; NULL if there is none. */
const struct doc_team *doc_find_team(const struct doc *d, const char *name)
{
	const struct doc_team *t;

	STAILQ_FOREACH(t, &d->teams, entry)
	{
		if (strcmp(t->name, name) == 0)
			return t;
	}
	return NULL;
}

/* Return a token as the document stores it: "sha256:" and 64 hexadecimal digits. */
char *doc_token_digest(const char *token)
{
	g_autofree char *hex = g_compute_checksum_for_string(G_CHECKSUM_SHA256, token, -1);
	char *out;

	xasprintf(&out, "sha256:%s", hex);
	return out;
}

/* Append a problem to a list; key may be NULL. */
void doc_problem_add(struct doc_problems *list, const char *section, int line, int column,
	const char *key, const char *fmt, ...)
{
	struct doc_problem *p = xcalloc(1, sizeof(*p));
	va_list ap;

	p->section = xstrdup(section);
	p->line = line;
	p->column = column;
	p->key = xstrdup(key != NULL ? key : "");
	va_start(ap, fmt);
	if (vasprintf(&p->rule, fmt, ap) < 0)
		abort();
	va_end(ap);
	STAILQ_INSERT_TAIL(list, p, entry);
}

/* Free a list of problems. */
void doc_problems_clear(struct doc_problems *list)
{
	struct doc_problem *p;

	while ((p = STAILQ_FIRST(list)) != NULL) {
		STAILQ_REMOVE_HEAD(list, entry);
		free(p->section);
		free(p->key);
		free(p->rule);
		free(p);
	}
}

/* Convert a list of problems to a JSON array. */
json_t *doc_problems_json(const struct doc_problems *list)
{
	json_t *out = json_array();
	const struct doc_problem *p;

	STAILQ_FOREACH(p, list, entry)
	{
		json_array_append_new(out,
			json_pack("{s:s,s:i,s:i,s:s,s:s}", "section", p->section, "line",
				p->line, "column", p->column, "key", p->key, "rule", p->rule));
	}
	return out;
}
