#include "base.h"

#include <stdarg.h>
#include <string.h>

static const char *const log_level_names[] = {"error", "warning", "info", "debug"};
static int log_max_level = LOG_LEVEL_INFO;

/* Set the log level: less severe messages are not written. */
void log_set_level(enum log_level level)
{
	__atomic_store_n(&log_max_level, (int)level, __ATOMIC_RELAXED);
}

/* Look up a log level by its name; return false if there is none. */
bool log_level_parse(const char *name, enum log_level *level)
{
	for (size_t i = 0; i < ARRAY_LEN(log_level_names); i++) {
		if (strcmp(log_level_names[i], name) == 0) {
			*level = (enum log_level)i;
			return true;
		}
	}
	return false;
}

/* Write a line with time, level, component and message to standard error. */
void log_write(enum log_level level, const char *component, const char *fmt, ...)
{
	AUTOFREE char *timestamp = NULL;
	AUTOFREE char *message = NULL;
	va_list ap;

	if ((int)level > __atomic_load_n(&log_max_level, __ATOMIC_RELAXED))
		return;
	va_start(ap, fmt);
	if (vasprintf(&message, fmt, ap) < 0)
		message = NULL;
	va_end(ap);
	timestamp = clock_format_wall(clock_wall(&clock_system));
	fprintf(stderr, "%s %s %s: %s\n", timestamp, log_level_names[level], component,
		message ? message : "");
}
