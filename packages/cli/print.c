#include "cli.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

/* A value as text for people. */
char *format_value(const json_t *v)
{
	char *out;

	if (json_is_string(v))
		return xstrdup(json_string_value(v));
	if (json_is_integer(v))
		xasprintf(&out, "%" JSON_INTEGER_FORMAT, json_integer_value(v));
	else if (json_is_real(v))
		xasprintf(&out, "%.3f", json_real_value(v));
	else if (json_is_boolean(v))
		out = xstrdup(json_is_true(v) ? "yes" : "no");
	else
		out = xstrdup("-");
	return out;
}

/* A column's text; keys in milliseconds are shown as durations. */
char *format_member(const json_t *o, const char *key)
{
	const json_t *v = json_object_get(o, key);

	if (json_is_integer(v) && g_str_has_suffix(key, "_ms"))
		return duration_format(json_integer_value(v) * NSEC_PER_MSEC);
	return format_value(v);
}

/* Print rows as an aligned table. */
void print_table(const json_t *rows, const struct column *columns, size_t len)
{
	size_t *width = xcalloc(len, sizeof(*width));
	size_t i;
	json_t *row;

	for (size_t k = 0; k < len; k++) {
		width[k] = strlen(columns[k].title);
		json_array_foreach((json_t *)rows, i, row) {
			AUTOFREE char *text = format_member(row, columns[k].key);

			width[k] = MAX(width[k], strlen(text));
		}
	}
	for (size_t k = 0; k < len; k++)
		printf("%-*s%s", k + 1 < len ? (int)width[k] + 2 : 0, columns[k].title,
			k + 1 < len ? "" : "\n");
	json_array_foreach((json_t *)rows, i, row) {
		for (size_t k = 0; k < len; k++) {
			AUTOFREE char *text = format_member(row, columns[k].key);

			printf("%-*s%s", k + 1 < len ? (int)width[k] + 2 : 0, text,
				k + 1 < len ? "" : "\n");
		}
	}
	free(width);
}

/* Print JSON for programs. */
void print_json(const json_t *o)
{
	char *text = json_dumps(o, JSON_INDENT(2) | JSON_SORT_KEYS | JSON_ENCODE_ANY);

	printf("%s\n", text);
	free(text);
}
