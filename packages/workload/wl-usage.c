#include "wl-private.h"

/*
 * How much of each service's workers is in use. While that is under half, reservations hold
 * back no task for long: a wide gang may wait long for its last workers, and what is reserved
 * for it meanwhile would stay idle.
 */

static struct wl_usage *usage_find(const struct wl *w, const char *service)
{
	for (guint i = 0; i < w->usages->len; i++) {
		struct wl_usage *u = &g_array_index(w->usages, struct wl_usage, i);

		if (u->service == service)
			return u;
	}
	return NULL;
}

/* Computes the usage of each service, once the free resources of the workers are known. */
void usage_compute(struct wl *w)
{
	g_array_set_size(w->usages, 0);
	for (guint i = 0; i < w->nodes->len; i++) {
		const struct wl_node *n = w->nodes->pdata[i];
		struct wl_resources used = {0};

		if (!n->usable || n->service == NULL)
			continue;
		if (usage_find(w, n->service) == NULL) {
			struct wl_usage fresh = {.service = n->service};

			g_array_append_val(w->usages, fresh);
		}
		resources_add(&usage_find(w, n->service)->capacity, &n->capacity);
		usage_find(w, n->service)->sound_workers += !node_on_probation(n, w->pass_at);
		used.cores_m =
			n->capacity.cores_m - CLAMP(n->free.cores_m, 0, n->capacity.cores_m);
		used.memory_mb = n->capacity.memory_mb -
				 CLAMP(n->free.memory_mb, 0, n->capacity.memory_mb);
		used.accelerators = n->capacity.accelerators -
				    CLAMP(n->free.accelerators, 0, n->capacity.accelerators);
		usage_add(w, n, &used);
	}
}

/* Adds what a task that was placed on a worker uses. */
void usage_add(struct wl *w, const struct wl_node *n, const struct wl_resources *need)
{
	struct wl_usage *u = usage_find(w, n->service);

	if (u != NULL)
		resources_add(&u->used, need);
}

bool service_has_sound_worker(const struct wl *w, const char *service)
{
	const struct wl_usage *u = usage_find(w, service);

	return u != NULL && u->sound_workers > 0;
}

/* Whether under half of each resource of a service is in use; true if it has no worker. */
bool service_is_half_idle(const struct wl *w, const char *service)
{
	const struct wl_usage *u = usage_find(w, service);

	return u == NULL || (2 * u->used.cores_m <= u->capacity.cores_m &&
				    2 * u->used.memory_mb <= u->capacity.memory_mb &&
				    2 * u->used.accelerators <= u->capacity.accelerators);
}
