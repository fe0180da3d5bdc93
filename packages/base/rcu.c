#include "base.h"

#include <ck_epoch.h>
#include <ck_pr.h>
#include <pthread.h>
#include <stdlib.h>

#define CACHE_LINE 64u /* bytes; the alignment that ck_epoch records require */

/*
 * ThreadSanitizer does not see the fences of ck_epoch, which are inline assembly. These
 * annotations declare the ordering that ck_epoch_synchronize provides: the end of a read
 * section happens before the free of a value that it may have read.
 */
#ifdef __SANITIZE_THREAD__
void __tsan_acquire(void *addr);
void __tsan_release(void *addr);
#define RCU_TSAN_READ_END(epoch)     __tsan_release(epoch)
#define RCU_TSAN_SYNCHRONIZED(epoch) __tsan_acquire(epoch)
#else
#define RCU_TSAN_READ_END(epoch)
#define RCU_TSAN_SYNCHRONIZED(epoch)
#endif

static ck_epoch_t rcu_epoch;
static pthread_key_t rcu_key;
static pthread_once_t rcu_once = PTHREAD_ONCE_INIT;
static __thread ck_epoch_record_t *rcu_record;

/* Unregister the record of a thread that exits, so that another thread can reuse it. */
static void unregister_record(void *arg)
{
	ck_epoch_unregister(arg);
}

static void init_epoch(void)
{
	ck_epoch_init(&rcu_epoch);
	pthread_key_create(&rcu_key, unregister_record);
}

/* Return the epoch record of the calling thread; reuse or allocate one on its first call. */
static ck_epoch_record_t *thread_record(void)
{
	if (rcu_record != NULL)
		return rcu_record;
	pthread_once(&rcu_once, init_epoch);
	rcu_record = ck_epoch_recycle(&rcu_epoch, NULL);
	if (rcu_record == NULL) {
		rcu_record = aligned_alloc(CACHE_LINE,
			(sizeof(*rcu_record) + CACHE_LINE - 1) / CACHE_LINE * CACHE_LINE);
		if (rcu_record == NULL)
			abort();
		ck_epoch_register(&rcu_epoch, rcu_record, NULL);
	}
	pthread_setspecific(rcu_key, rcu_record);
	return rcu_record;
}

/* Begin a read section. */
void rcu_enter(void)
{
	ck_epoch_begin(thread_record(), NULL);
}

/* End a read section. Values returned by rcu_read must not be used after it. */
void rcu_leave(void)
{
	RCU_TSAN_READ_END(&rcu_epoch);
	ck_epoch_end(thread_record(), NULL);
}

/* Return the current value of a slot; call it inside a read section. */
void *rcu_read(void *const *slot)
{
	return __atomic_load_n(slot, __ATOMIC_ACQUIRE);
}

/*
 * Replace the value of a slot, wait until no reader can hold the old one, and free it. Must not
 * be called inside a read section.
 */
void rcu_publish(void **slot, void *value, void (*free_fn)(void *))
{
	void *old = __atomic_exchange_n(slot, value, __ATOMIC_ACQ_REL);

	if (old == NULL)
		return;
	ck_epoch_synchronize(thread_record());
	RCU_TSAN_SYNCHRONIZED(&rcu_epoch);
	free_fn(old);
}
