#include "soak.h"

#include <signal.h>
#include <stdlib.h>
#include <string.h>

/*
 * Faults come at random, overlap, and are undone after a while. Each is put on a process from
 * outside: a signal, a relay on its way, or the stand-in of the platform.
 */

enum fault_kind {
	FAULT_KILL,
	FAULT_RESTART, /* a planned stop, and a start */
	FAULT_PAUSE,
	FAULT_STORE_LINK,
	FAULT_WORKER_LINK,
	FAULT_STORE_DOWN,
	FAULT_STORE_ANSWERS,
	FAULT_LATE_ORDERS,
	FAULT_WORKER_CRASH,
	FAULT_KINDS
};

static const char *const fault_names[FAULT_KINDS] = {"kill", "restart", "pause", "store-link",
	"worker-link", "store-down", "store-answers", "late-orders", "worker-crash"};

/* A fault that is to be undone. */
struct fault {
	enum fault_kind kind;
	struct soak_node *node;
	int64_t until;
};

struct fault_injector {
	struct soak *soak;
	GArray *open;
	int64_t next;
};

/* Nanoseconds between two bounds in milliseconds. */
static int64_t span(struct fault_injector *f, int from_ms, int to_ms)
{
	return g_rand_int_range(f->soak->rand, from_ms, to_ms) * NSEC_PER_MSEC;
}

static void control(struct fault_injector *f, const char *text)
{
	client_put(f->soak->platform_addr, "/control", text, NULL);
}

/* Whether a fault on a node is open. */
static bool is_open(const struct fault_injector *f, const struct soak_node *n)
{
	for (guint i = 0; i < f->open->len; i++) {
		if (g_array_index(f->open, struct fault, i).node == n)
			return true;
	}
	return false;
}

/* Undo a fault. */
static void undo(struct fault_injector *f, const struct fault *x)
{
	switch (x->kind) {
	case FAULT_KILL:
		proc_restart(&f->soak->scenario, x->node->proc);
		break;
	case FAULT_RESTART:
		proc_reap(x->node->proc, 8 * NSEC_PER_SEC);
		proc_restart(&f->soak->scenario, x->node->proc);
		break;
	case FAULT_PAUSE:
		proc_signal(&f->soak->scenario, x->node->proc, SIGCONT);
		break;
	case FAULT_STORE_LINK:
		relay_set(x->node->store_relay, RELAY_OPEN);
		break;
	case FAULT_WORKER_LINK:
		relay_set(x->node->worker_relay, RELAY_OPEN);
		break;
	case FAULT_STORE_DOWN:
		control(f, "{\"down\":false}");
		break;
	case FAULT_STORE_ANSWERS:
	case FAULT_LATE_ORDERS:
	case FAULT_WORKER_CRASH:
	case FAULT_KINDS:
		break;
	}
}

/* Put one fault on a node; false where it does not fit. */
static bool put(struct fault_injector *f, struct fault *x)
{
	static const enum relay_mode modes[] = {
		RELAY_HOLD, RELAY_CUT, RELAY_ONE_WAY, RELAY_SLOW};
	enum relay_mode mode = modes[g_rand_int_range(f->soak->rand, 0, ARRAY_LEN(modes))];
	g_autofree char *text = NULL;

	switch (x->kind) {
	case FAULT_KILL:
		return proc_signal(&f->soak->scenario, x->node->proc, SIGKILL);
	case FAULT_RESTART:
		return proc_signal(&f->soak->scenario, x->node->proc, SIGTERM);
	case FAULT_PAUSE:
		return proc_signal(&f->soak->scenario, x->node->proc, SIGSTOP);
	case FAULT_STORE_LINK:
		relay_set(x->node->store_relay, mode);
		return true;
	case FAULT_WORKER_LINK:
		if (x->node->is_entry)
			return false;
		relay_set(x->node->worker_relay, mode);
		return true;
	case FAULT_STORE_DOWN:
		control(f, "{\"down\":true}");
		return true;
	case FAULT_STORE_ANSWERS:
		control(f, "{\"drop_answers\":3}");
		return true;
	case FAULT_LATE_ORDERS:
		control(f, "{\"late_orders\":3}");
		return true;
	case FAULT_WORKER_CRASH:
		if (x->node->is_entry)
			return false;
		text = g_strdup_printf("{\"crash\":\"w%d\"}",
			(int)(x->node - f->soak->nodes) - SOAK_ENTRIES + 1);
		control(f, text);
		/* A worker's connections end with it, and what was under way on them. */
		relay_reset(x->node->worker_relay);
		return true;
	case FAULT_KINDS:
		break;
	}
	return false;
}

/* Faults that come about so often. */
struct fault_injector *fault_injector_new(struct soak *soak)
{
	struct fault_injector *f = xcalloc(1, sizeof(*f));

	f->soak = soak;
	f->open = g_array_new(FALSE, FALSE, sizeof(struct fault));
	f->next = now_ns() + NSEC_PER_SEC;
	return f;
}

/* Undo what is due, and perhaps put another fault. */
void fault_injector_step(struct fault_injector *f)
{
	struct fault x = {0};

	for (guint i = f->open->len; i > 0; i--) {
		struct fault was = g_array_index(f->open, struct fault, i - 1);

		if (now_ns() < was.until)
			continue;
		g_array_remove_index(f->open, i - 1);
		undo(f, &was);
	}
	if (now_ns() < f->next)
		return;
	f->next = now_ns() + span(f, 100, 1800);
	x.kind = (enum fault_kind)g_rand_int_range(f->soak->rand, 0, FAULT_KINDS);
	x.node = &f->soak->nodes[g_rand_int_range(
		f->soak->rand, 0, (gint32)ARRAY_LEN(f->soak->nodes))];
	x.until = now_ns() + span(f, 200, 5000);
	if (is_open(f, x.node) || !put(f, &x))
		return;
	f->soak->faults++;
	printf("fault kind=%s node=%s for_ms=%lld\n", fault_names[x.kind], x.node->proc->name,
		(long long)((x.until - now_ns()) / NSEC_PER_MSEC));
	g_array_append_val(f->open, x);
}

/* Undo all. */
void fault_injector_stop(struct fault_injector *f)
{
	for (guint i = 0; i < f->open->len; i++)
		undo(f, &g_array_index(f->open, struct fault, i));
	control(f, "{\"down\":false,\"drop_answers\":0,\"late_orders\":0}");
	g_array_free(f->open, TRUE);
	free(f);
}
