#include "base.h"

#include <argtable2.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#define FLAG_REPEATS_MAX 8 /* times that a flag may be given; the last one counts */
#define PARSE_ERRORS_MAX 8 /* errors recorded; only the first one is reported */

struct options {
	const struct option_entry *table;
	size_t count;
	struct option_value *values;
};

/* Return whether a setting applies to a role; a NULL list of roles means all of them. */
static bool applies_to_role(const struct option_entry *e, const char *role)
{
	g_auto(GStrv) names = NULL;

	if (e->roles == NULL || role == NULL)
		return true;
	names = g_strsplit(e->roles, ",", -1);
	return g_strv_contains((const gchar *const *)names, role);
}

/* Return the name of a setting's environment variable; the caller frees it. */
static char *env_name(const struct option_entry *e)
{
	char *name;

	xasprintf(&name, "DAMASKPATH_%s", e->name);
	for (char *p = name; *p != '\0'; p++)
		*p = *p == '-' ? '_' : g_ascii_toupper(*p);
	return name;
}

/* Set the error for an invalid value, stating what is accepted. */
static void set_value_error(const struct option_entry *e, const char *text, GError **err)
{
	switch (e->type) {
	case OPTION_NUMBER:
		error_set(err, ERR_INVALID,
			"setting %s: '%s' is not a whole number from %" PRId64 " to %" PRId64,
			e->name, text, e->min, e->max);
		break;
	case OPTION_DURATION:
		error_set(err, ERR_INVALID,
			"setting %s: '%s' is not a duration from %" PRId64 "ms to %" PRId64
			"ms (units: ms, s, m, h, d)",
			e->name, text, e->min / NSEC_PER_MSEC, e->max / NSEC_PER_MSEC);
		break;
	case OPTION_BOOL:
		error_set(err, ERR_INVALID, "setting %s: '%s' is neither yes nor no", e->name,
			text);
		break;
	case OPTION_STRING:
		error_set(err, ERR_INVALID, "setting %s: must not be empty", e->name);
		break;
	}
}

/* Validate the text of a value against its table entry and store it. */
static bool set_value(
	const struct option_entry *e, struct option_value *v, const char *text, GError **err)
{
	char *end = NULL;
	bool ok = true;

	switch (e->type) {
	case OPTION_STRING:
		ok = e->min == 0 || *text != '\0';
		break;
	case OPTION_NUMBER:
		v->number = strtoll(text, &end, 10);
		ok = end != text && *end == '\0' && v->number >= e->min && v->number <= e->max;
		break;
	case OPTION_DURATION:
		ok = duration_parse(text, &v->number) && v->number >= e->min &&
		     v->number <= e->max;
		break;
	case OPTION_BOOL:
		v->number = strcmp(text, "yes") == 0;
		ok = v->number || strcmp(text, "no") == 0;
		break;
	}
	if (!ok) {
		set_value_error(e, text, err);
		return false;
	}
	free(v->text);
	v->text = xstrdup(text);
	return true;
}

/* Set a value from the flag, the environment or the default, in this order of precedence. */
static bool resolve_value(const struct option_entry *e, struct option_value *v,
	const struct arg_str *flag, GError **err)
{
	AUTOFREE char *env = env_name(e);
	const char *text = getenv(env);

	if (flag != NULL && flag->count > 0)
		text = flag->sval[flag->count - 1];
	if (text == NULL)
		text = e->default_value;
	return set_value(e, v, text, err);
}

/* Set the error to the first line that argtable reports. */
static void parse_error(struct arg_end *end, const char *role, GError **err)
{
	char *line = NULL;
	size_t len = 0;
	FILE *f = open_memstream(&line, &len);

	arg_print_errors(f, end, role);
	fclose(f);
	g_strchomp(line);
	if (strchr(line, '\n') != NULL)
		*strchr(line, '\n') = '\0';
	error_set(err, ERR_INVALID, "%s", line);
	free(line);
}

/*
 * Parse the settings of a role, skipping argv[0]. Settings of other roles are not accepted on
 * the command line, but are set from the environment or the default and validated, too. Return
 * NULL and set err if any setting is invalid.
 */
struct options *options_parse(const struct option_entry *table, size_t count, const char *role,
	int argc, char **argv, GError **err)
{
	struct options *o = xcalloc(1, sizeof(*o));
	void **args = xcalloc(count + 1, sizeof(*args));
	struct arg_end *end = arg_end(PARSE_ERRORS_MAX);
	size_t args_len = 0;
	size_t next_arg = 0;
	bool ok;

	o->table = table;
	o->count = count;
	o->values = xcalloc(count, sizeof(*o->values));
	for (size_t i = 0; i < count; i++) {
		if (applies_to_role(&table[i], role))
			args[args_len++] = arg_strn(NULL, table[i].name, "VALUE", 0,
				FLAG_REPEATS_MAX, table[i].help);
	}
	args[args_len++] = end;
	ok = arg_parse(argc, argv, args) == 0;
	if (!ok)
		parse_error(end, role, err);
	for (size_t i = 0; ok && i < count; i++) {
		struct arg_str *flag =
			applies_to_role(&table[i], role) ? args[next_arg++] : NULL;

		ok = resolve_value(&table[i], &o->values[i], flag, err);
	}
	arg_freetable(args, args_len);
	free(args);
	if (ok)
		return o;
	options_free(o);
	return NULL;
}

/* Free parsed settings; o may be NULL. */
void options_free(struct options *o)
{
	if (o == NULL)
		return;
	for (size_t i = 0; i < o->count; i++)
		free(o->values[i].text);
	free(o->values);
	free(o);
}

/* Look up a setting; abort if the table lacks it, as that is a programming error. */
static const struct option_value *find_value(const struct options *o, const char *name)
{
	for (size_t i = 0; i < o->count; i++) {
		if (strcmp(o->table[i].name, name) == 0)
			return &o->values[i];
	}
	abort();
}

/* Return a setting as text. */
const char *options_string(const struct options *o, const char *name)
{
	return find_value(o, name)->text;
}

/* Return a number, a duration in nanoseconds, or a boolean as 0 or 1. */
int64_t options_number(const struct options *o, const char *name)
{
	return find_value(o, name)->number;
}

/* Print the help text of a role's settings. */
void options_help(FILE *out, const struct option_entry *table, size_t count, const char *role)
{
	for (size_t i = 0; i < count; i++) {
		AUTOFREE char *env = env_name(&table[i]);

		if (applies_to_role(&table[i], role))
			fprintf(out, "  --%s=VALUE\n      %s (default: %s; environment: %s)\n",
				table[i].name, table[i].help,
				*table[i].default_value ? table[i].default_value : "none", env);
	}
}
