#include "state.h"

#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

#define GRACE_DEFAULT	    (5 * NSEC_PER_SEC)
#define WEIGHT_DEFAULT	    0.5
#define QUEUE_MAX_DEFAULT   2000
#define PAYLOAD_MAX_DEFAULT (256 * 1024)

/* A document with nothing but defaults. */
struct doc *doc_new(void)
{
	struct doc *d = xcalloc(1, sizeof(*d));

	d->grace = GRACE_DEFAULT;
	d->weight_completion = WEIGHT_DEFAULT;
	d->queue_max = QUEUE_MAX_DEFAULT;
	d->payload_max = PAYLOAD_MAX_DEFAULT;
	STAILQ_INIT(&d->classes);
	STAILQ_INIT(&d->cells);
	STAILQ_INIT(&d->teams);
	STAILQ_INIT(&d->orgs);
	return d;
}

/* Free an organisation. */
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

/* Free a document. */
void doc_free(struct doc *d)
{
	struct doc_class *c;
	struct doc_cell *l;
	struct doc_team *t;
	struct doc_org *o;

	if (d == NULL)
		return;
	while ((c = STAILQ_FIRST(&d->classes)) != NULL) {
		STAILQ_REMOVE_HEAD(&d->classes, entry);
		free(c->name);
		free(c);
	}
	while ((l = STAILQ_FIRST(&d->cells)) != NULL) {
		STAILQ_REMOVE_HEAD(&d->cells, entry);
		free(l->name);
		free(l);
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

/* Find an organisation. */
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

/* Find a class. */
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

/* Find a team. */
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

/* The form in which the document holds a token: "sha256:" and 64 hexadecimal digits. */
char *doc_token_digest(const char *token)
{
	g_autofree char *hex = g_compute_checksum_for_string(G_CHECKSUM_SHA256, token, -1);
	char *out;

	xasprintf(&out, "sha256:%s", hex);
	return out;
}

/* Add to a list of what is wrong; key may be NULL. */
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

/* A list of problems as JSON. */
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
