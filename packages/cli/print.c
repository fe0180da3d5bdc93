#include "cli.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#define COLUMN_GAP 2 /* spaces between two columns of a table */

/* Format a JSON value as text, "-" for objects, arrays and null; the caller frees it. */
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

/* Format a field of an object. Integers whose key ends in _ms are formatted as durations. */
char *format_field(const json_t *o, const char *key)
{
	const json_t *v = json_object_get(o, key);

	if (json_is_integer(v) && g_str_has_suffix(key, "_ms"))
		return duration_format(json_integer_value(v) * NSEC_PER_MSEC);
	return format_value(v);
}

/* Print an array of objects as a table with aligned columns. */
void print_table(const json_t *rows, const struct column *columns, size_t len)
{
	size_t *width = xcalloc(len, sizeof(*width));
	size_t row_index;
	json_t *row;

	for (size_t col = 0; col < len; col++) {
		width[col] = strlen(columns[col].title);
		json_array_foreach((json_t *)rows, row_index, row) {
			AUTOFREE char *text = format_field(row, columns[col].key);

			width[col] = MAX(width[col], strlen(text));
		}
	}
	for (size_t col = 0; col < len; col++)
		printf("%-*s%s", col + 1 < len ? (int)width[col] + COLUMN_GAP : 0,
			columns[col].title, col + 1 < len ? "" : "\n");
	json_array_foreach((json_t *)rows, row_index, row) {
		for (size_t col = 0; col < len; col++) {
			AUTOFREE char *text = format_field(row, columns[col].key);

			printf("%-*s%s", col + 1 < len ? (int)width[col] + COLUMN_GAP : 0, text,
				col + 1 < len ? "" : "\n");
		}
	}
	free(width);
}

/* Print JSON, indented and with sorted keys. */
void print_json(const json_t *o)
{
	char *text = json_dumps(o, JSON_INDENT(2) | JSON_SORT_KEYS | JSON_ENCODE_ANY);

	printf("%s\n", text);
	free(text);
}
