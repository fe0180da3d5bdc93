#ifndef DP_SOAK_H
#define DP_SOAK_H

#include "runner.h"

#define SOAK_ENTRIES 2
#define SOAK_WORKERS 4
#define SOAK_CALLERS 3

/* One process of the system and the relays on its way to the store and to its worker. */
struct soak_node {
	struct proc *proc;
	struct relay *store;
	struct relay *worker;
	bool is_entry;
	char *callers; /* where an entry takes calls */
	char *ready;
};

/* A job as its caller saw it. */
struct soak_job {
	char id[17];
	char *body;
	bool accepted;
	bool refused; /* told that it does not run, and never sent again */
	bool cancelled;
	int64_t accepted_at;
};

struct soak {
	struct scenario s;
	GRand *rand;
	struct proc *platform;
	char *platform_addr;
	struct soak_node nodes[SOAK_ENTRIES + SOAK_WORKERS];
	int64_t until;
	/* Callers add jobs; the lock guards the list and the counts. */
	pthread_mutex_t lock;
	GPtrArray *jobs;
	unsigned int faults;
	unsigned int forgotten;
};

/* soak-load.c: callers. */
void load_start(struct soak *k, pthread_t *threads);
char *load_state(struct soak *k, const char *id);
int load_call(
	const char *method, const char *addr, const char *id, const char *body, char **out);

/* soak-fault.c: what is done to the system from outside. */
struct fault_plan;
struct fault_plan *fault_plan_new(struct soak *k);
void fault_step(struct fault_plan *f);
void fault_end(struct fault_plan *f);

/* soak-check.c: what must hold, as callers and workers saw it. */
unsigned int check_all(struct soak *k, FILE *out);

#endif
