#include "soak.h"

#include <stdlib.h>
#include <string.h>
#include <unistd.h>

/* After the last fault everything that was accepted has ended within this. */
#define END_LIMIT (45 * NSEC_PER_SEC)

/* Whether a job has ended as it may. */
static bool has_ended(const struct soak_job *j, const char *state)
{
	if (g_strcmp0(state, "completed") == 0)
		return true;
	return j->cancelled && g_strcmp0(state, "cancelled") == 0;
}

/* Wait for the jobs that were accepted; how many have not ended. */
static unsigned int check_ends(struct soak *soak)
{
	int64_t limit = now_ns() + END_LIMIT;
	unsigned int lost = 0;

	for (guint i = 0; i < soak->jobs->len; i++) {
		const struct soak_job *j = soak->jobs->pdata[i];
		g_autofree char *state = NULL;

		if (!j->accepted)
			continue;
		for (;;) {
			g_free(state);
			state = load_job_state(soak, j->id);
			if (has_ended(j, state) || now_ns() > limit)
				break;
			usleep(100000);
		}
		if (has_ended(j, state))
			continue;
		lost++;
		fprintf(stderr, "job %s is %s: %s\n", j->id, state ? state : "not answered",
			j->body);
	}
	return lost;
}

/* Jobs that were refused and ran all the same. */
static unsigned int check_refusals(const struct soak *soak, const json_t *begun)
{
	g_autoptr(GHashTable) ids = g_hash_table_new(g_str_hash, g_str_equal);
	unsigned int bad = 0;

	for (size_t i = 0; i < json_array_size(begun); i++)
		g_hash_table_add(ids, (gpointer)json_string_value(json_array_get(begun, i)));
	for (guint i = 0; i < soak->jobs->len; i++) {
		const struct soak_job *j = soak->jobs->pdata[i];

		if (!j->refused || !g_hash_table_contains(ids, j->id))
			continue;
		bad++;
		fprintf(stderr, "job %s was refused and has run\n", j->id);
	}
	return bad;
}

/* Check all that must hold; how much does not. */
unsigned int check_invariants(struct soak *soak, FILE *out)
{
	unsigned int lost = check_ends(soak);
	json_t *answer = NULL;
	const json_t *wrong;
	unsigned int refused;
	unsigned int accepted = 0;

	client_put(soak->platform_addr, "/control", "{}", &answer);
	wrong = json_object_get(answer, "wrong");
	refused = check_refusals(soak, json_object_get(answer, "begun"));
	for (size_t i = 0; i < json_array_size(wrong); i++)
		fprintf(stderr, "%s\n", json_string_value(json_array_get(wrong, i)));
	for (guint i = 0; i < soak->jobs->len; i++)
		accepted += ((struct soak_job *)soak->jobs->pdata[i])->accepted;
	fprintf(out,
		"jobs=%u accepted=%u faults=%u lost=%u forgotten=%u refused_ran=%u wrong=%zu "
		"ended_by_itself=%u",
		soak->jobs->len, accepted, soak->faults, lost, soak->forgotten, refused,
		json_array_size(wrong), soak->scenario.t.failed);
	lost += refused + soak->forgotten + (unsigned int)json_array_size(wrong) +
		soak->scenario.t.failed;
	json_decref(answer);
	return lost;
}
