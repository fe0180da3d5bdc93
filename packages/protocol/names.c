#include "protocol.h"

#include <string.h>

static const char *const adjacency_names[] = {"any", "rack", "worker"};
static const char *const outcome_names[] = {
	"none", "done", "failed", "cancelled", "not_run", "unknown"};

/* Find a name in a list; -1 where it is not there. */
static int find_name(const char *const *names, size_t count, const char *name)
{
	for (size_t i = 0; i < count; i++) {
		if (strcmp(names[i], name) == 0)
			return (int)i;
	}
	return -1;
}

/* The name of an adjacency. */
const char *adjacency_name(enum adjacency a)
{
	return adjacency_names[(size_t)a < ARRAY_LEN(adjacency_names) ? a : ADJACENCY_ANY];
}

/* Find an adjacency by its name. */
bool adjacency_parse(const char *name, enum adjacency *a)
{
	int i = find_name(adjacency_names, ARRAY_LEN(adjacency_names), name);

	if (i >= 0)
		*a = (enum adjacency)i;
	return i >= 0;
}

/* The name of an outcome. */
const char *outcome_name(enum outcome o)
{
	return outcome_names[(size_t)o < ARRAY_LEN(outcome_names) ? o : OUTCOME_UNKNOWN];
}

/* Find an outcome by its name. */
bool outcome_parse(const char *name, enum outcome *o)
{
	int i = find_name(outcome_names, ARRAY_LEN(outcome_names), name);

	if (i >= 0)
		*o = (enum outcome)i;
	return i >= 0;
}
