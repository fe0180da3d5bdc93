#include "base.h"

#include <stdarg.h>
#include <string.h>

static const char *const log_names[] = {"error", "warning", "info", "debug"};
static int log_threshold = LOG_LEVEL_INFO;

/* Set the least severe level that is still written. */
void log_set_level(enum log_level level)
{
	__atomic_store_n(&log_threshold, (int)level, __ATOMIC_RELAXED);
}

/* Find a level by its name. */
bool log_level_parse(const char *name, enum log_level *level)
{
	for (size_t i = 0; i < ARRAY_LEN(log_names); i++) {
		if (strcmp(log_names[i], name) == 0) {
			*level = (enum log_level)i;
			return true;
		}
	}
	return false;
}

/* Write one line to standard error: time, level, part, sentence. */
void log_write(enum log_level level, const char *part, const char *fmt, ...)
{
	AUTOFREE char *when = NULL;
	AUTOFREE char *text = NULL;
	va_list ap;

	if ((int)level > __atomic_load_n(&log_threshold, __ATOMIC_RELAXED))
		return;
	va_start(ap, fmt);
	if (vasprintf(&text, fmt, ap) < 0)
		text = NULL;
	va_end(ap);
	when = clock_format_wall(clock_wall(&clock_system));
	fprintf(stderr, "%s %s %s: %s\n", when, log_names[level], part, text ? text : "");
}
