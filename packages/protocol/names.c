#include "protocol.h"

#include <string.h>

static const char *const adjacency_names[] = {"any", "rack", "worker"};
static const char *const outcome_names[] = {
	"none", "done", "failed", "cancelled", "not_run", "unknown"};

/* Return the index of a name in a list, or -1 if it is not in it. */
static int find_name(const char *const *names, size_t count, const char *name)
{
	for (size_t i = 0; i < count; i++) {
		if (strcmp(names[i], name) == 0)
			return (int)i;
	}
	return -1;
}

/* Return the name of an adjacency; a value out of range gives that of ADJACENCY_ANY. */
const char *adjacency_name(enum adjacency a)
{
	return adjacency_names[(size_t)a < ARRAY_LEN(adjacency_names) ? a : ADJACENCY_ANY];
}

/* Parse the name of an adjacency; false if there is none of that name. */
bool adjacency_parse(const char *name, enum adjacency *a)
{
	int i = find_name(adjacency_names, ARRAY_LEN(adjacency_names), name);

	if (i >= 0)
		*a = (enum adjacency)i;
	return i >= 0;
}

/* Return the name of an outcome; a value out of range gives that of OUTCOME_UNKNOWN. */
const char *outcome_name(enum outcome o)
{
	return outcome_names[(size_t)o < ARRAY_LEN(outcome_names) ? o : OUTCOME_UNKNOWN];
}

/* Parse the name of an outcome; false if there is none of that name. */
bool outcome_parse(const char *name, enum outcome *o)
{
	int i = find_name(outcome_names, ARRAY_LEN(outcome_names), name);

	if (i >= 0)
		*o = (enum outcome)i;
	return i >= 0;
}
