#include "base.h"

#include <ck_epoch.h>
#include <ck_pr.h>
#include <pthread.h>
#include <stdlib.h>

/*
 * The thread sanitizer does not see the fences of ck_epoch, which are inline assembly. It is
 * told the one order that ck_epoch_synchronize gives: a read section that has ended comes
 * before the free of what it may have read.
 */
#ifdef __SANITIZE_THREAD__
void __tsan_acquire(void *addr);
void __tsan_release(void *addr);
#define RCU_READ_ENDS(epoch)	__tsan_release(epoch)
#define RCU_READERS_GONE(epoch) __tsan_acquire(epoch)
#else
#define RCU_READ_ENDS(epoch)
#define RCU_READERS_GONE(epoch)
#endif

static ck_epoch_t rcu_epoch;
static pthread_key_t rcu_key;
static pthread_once_t rcu_once = PTHREAD_ONCE_INIT;
static __thread ck_epoch_record_t *rcu_record;

/* A thread ends: its record may be used again. */
static void drop_record(void *arg)
{
	ck_epoch_unregister(arg);
}

static void init_epoch(void)
{
	ck_epoch_init(&rcu_epoch);
	pthread_key_create(&rcu_key, drop_record);
}

/* This thread's record. */
static ck_epoch_record_t *my_record(void)
{
	if (rcu_record != NULL)
		return rcu_record;
	pthread_once(&rcu_once, init_epoch);
	rcu_record = ck_epoch_recycle(&rcu_epoch, NULL);
	if (rcu_record == NULL) {
		rcu_record = aligned_alloc(64, (sizeof(*rcu_record) + 63) / 64 * 64);
		if (rcu_record == NULL)
			abort();
		ck_epoch_register(&rcu_epoch, rcu_record, NULL);
	}
	pthread_setspecific(rcu_key, rcu_record);
	return rcu_record;
}

/* Begin to read. */
void rcu_enter(void)
{
	ck_epoch_begin(my_record(), NULL);
}

/* End reading; what rcu_read returned must not be used any more. */
void rcu_leave(void)
{
	RCU_READ_ENDS(&rcu_epoch);
	ck_epoch_end(my_record(), NULL);
}

/* The current value. */
void *rcu_read(void *const *slot)
{
	return __atomic_load_n(slot, __ATOMIC_ACQUIRE);
}

/* Replace the value, wait for its readers and free it; not from inside a read. */
void rcu_publish(void **slot, void *value, void (*free_fn)(void *))
{
	void *old = __atomic_exchange_n(slot, value, __ATOMIC_ACQ_REL);

	if (old == NULL)
		return;
	ck_epoch_synchronize(my_record());
	RCU_READERS_GONE(&rcu_epoch);
	free_fn(old);
}
