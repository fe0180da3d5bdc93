#include "daemon.h"

#include <pthread.h>
#include <signal.h>
#include <string.h>
#include <sys/signalfd.h>

#define POOL_THREADS 4

/* Initializes everything but the store, which the caller opens. */
bool process_init(struct process *p, struct options *o, GError **err)
{
	enum log_level level;

	memset(p, 0, sizeof(*p));
	p->options = o;
	if (!log_level_parse(options_string(o, "log-level"), &level)) {
		error_set(err, ERR_INVALID,
			"setting log-level: '%s' is not error, warning, info or debug",
			options_string(o, "log-level"));
		return false;
	}
	log_set_level(level);
	p->keys = keyring_parse(options_string(o, "peer-keys"), err);
	if (p->keys == NULL)
		return false;
	p->zone = options_string(o, "zone");
	p->stop_limit_ns = options_number(o, "stop-limit");
	p->loop = loop_new(&clock_system);
	p->pool = work_pool_new(p->loop, POOL_THREADS);
	return true;
}

/* Waits for the blocking calls on the pool; their owners may be freed afterwards. */
void process_stop_pool(struct process *p)
{
	if (p->pool != NULL)
		work_pool_free(p->pool);
	p->pool = NULL;
}

void process_clear(struct process *p)
{
	process_stop_pool(p);
	if (p->loop != NULL)
		loop_free(p->loop);
	store_free(p->store);
	keyring_free(p->keys);
}

/* Blocks the signals that the loop handles and returns a signalfd for them; ignores SIGPIPE. */
int process_open_signalfd(bool reload)
{
	sigset_t set;

	sigemptyset(&set);
	sigaddset(&set, SIGTERM);
	sigaddset(&set, SIGINT);
	if (reload)
		sigaddset(&set, SIGHUP);
	pthread_sigmask(SIG_BLOCK, &set, NULL);
	signal(SIGPIPE, SIG_IGN);
	return signalfd(-1, &set, SFD_NONBLOCK | SFD_CLOEXEC);
}
