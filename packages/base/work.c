#include "base.h"

#include <pthread.h>
#include <stdlib.h>

struct work {
	loop_fn *run;
	loop_fn *done;
	void *arg;
	STAILQ_ENTRY(work) entry;
};

struct work_pool {
	struct loop *loop;
	pthread_t *threads;
	unsigned int count;
	pthread_mutex_t lock;
	pthread_cond_t not_empty;
	STAILQ_HEAD(, work) queue;
	bool stopping;
};

/* Thread function: run queued work until the pool stops and the queue is empty. */
static void *work_thread(void *arg)
{
	struct work_pool *p = arg;
	struct work *w;

	for (;;) {
		pthread_mutex_lock(&p->lock);
		while (STAILQ_EMPTY(&p->queue) && !p->stopping)
			pthread_cond_wait(&p->not_empty, &p->lock);
		w = STAILQ_FIRST(&p->queue);
		if (w == NULL) {
			pthread_mutex_unlock(&p->lock);
			return NULL;
		}
		STAILQ_REMOVE_HEAD(&p->queue, entry);
		pthread_mutex_unlock(&p->lock);
		w->run(w->arg);
		if (w->done != NULL)
			loop_post(p->loop, w->done, w->arg);
		free(w);
	}
}

/* Start a pool of threads that posts completion callbacks to a loop. */
struct work_pool *work_pool_new(struct loop *l, unsigned int threads)
{
	struct work_pool *p = xcalloc(1, sizeof(*p));

	p->loop = l;
	p->count = threads;
	p->threads = xcalloc(threads, sizeof(*p->threads));
	pthread_mutex_init(&p->lock, NULL);
	pthread_cond_init(&p->not_empty, NULL);
	STAILQ_INIT(&p->queue);
	for (unsigned int i = 0; i < threads; i++) {
		if (pthread_create(&p->threads[i], NULL, work_thread, p) != 0)
			abort();
	}
	return p;
}

/* Run the work that is still queued, then stop the threads and free the pool. */
void work_pool_free(struct work_pool *p)
{
	pthread_mutex_lock(&p->lock);
	p->stopping = true;
	pthread_cond_broadcast(&p->not_empty);
	pthread_mutex_unlock(&p->lock);
	for (unsigned int i = 0; i < p->count; i++)
		pthread_join(p->threads[i], NULL);
	pthread_mutex_destroy(&p->lock);
	pthread_cond_destroy(&p->not_empty);
	free(p->threads);
	free(p);
}

/* Queue run(arg) for a thread of the pool; then done(arg), if not NULL, runs on the loop. */
void work_submit(struct work_pool *p, loop_fn *run, loop_fn *done, void *arg)
{
	struct work *w = xmalloc(sizeof(*w));

	w->run = run;
	w->done = done;
	w->arg = arg;
	pthread_mutex_lock(&p->lock);
	STAILQ_INSERT_TAIL(&p->queue, w, entry);
	pthread_cond_signal(&p->not_empty);
	pthread_mutex_unlock(&p->lock);
}
