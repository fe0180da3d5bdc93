#ifndef DP_STATE_H
#define DP_STATE_H

#include "base.h"
#include "protocol.h"
#include "transport.h"

#include <jansson.h>

/*
 * Prefix of all keys in a struct store. Those below "live/" are the keys that the entries
 * watch: the head of the configuration, the term and lease of each cell, and a key of each
 * running entry. Not all of them are attached to a lease.
 */
#define STORE_PREFIX	"/damaskpath/"
#define STORE_VALUE_MAX (1024 * 1024)

/*
 * store.c: client interface of the key-value store (etcd or in memory) of all daemons but the
 * workload ones, which use kv.h. Calls block and are thread-safe. ERR_STORE_DOWN means that the
 * store has not executed the call, ERR_STORE_UNSURE that it may have: a write may be applied or
 * not. A read whose response is malformed also fails with ERR_STORE_UNSURE.
 * (ERR_UNKNOWN_OUTCOME is about the outcome of a job, not of a store call.)
 */
struct store_kv {
	char *key;
	struct bytes value;
	int64_t create_revision;
	int64_t mod_revision;
	int64_t lease;
};
struct store_range {
	struct store_kv *kvs;
	size_t len;
	int64_t revision;
};
enum store_target {
	STORE_CREATE_REVISION,
	STORE_MOD_REVISION
};
/* True when the key's target revision equals revision. Revision 0 matches an absent key. */
struct store_compare {
	const char *key;
	enum store_target target;
	int64_t revision;
};
enum store_op_kind {
	STORE_PUT,
	STORE_DELETE
};
struct store_op {
	enum store_op_kind kind;
	const char *key;
	const void *value;
	size_t len;
	int64_t lease;
};
struct store_txn {
	const struct store_compare *compares;
	size_t compares_len;
	const struct store_op *ops;
	size_t ops_len;
};
struct store_event {
	bool deleted;
	struct store_kv kv;
};
/*
 * Receives the next events. The embedded store passes the events of one revision and that
 * revision; the etcd client passes the events of one response and the revision in the
 * response's header, which may be later than theirs (see mod_revision). It is also called
 * periodically with NULL events; revision means nothing then. The watch ends when it returns
 * false.
 */
typedef bool store_watch_fn(
	const struct store_event *events, size_t len, int64_t revision, void *arg);

struct store;
bool store_get_range(
	struct store *s, const char *prefix, bool exact, struct store_range *out, GError **err);
bool store_run_txn(struct store *s, const struct store_txn *txn, bool *succeeded,
	int64_t *revision, GError **err);
bool store_lease_grant(struct store *s, int64_t ttl_s, int64_t *lease, GError **err);
bool store_lease_keepalive(struct store *s, int64_t lease, int64_t *ttl_s, GError **err);
bool store_lease_revoke(struct store *s, int64_t lease, GError **err);
bool store_watch(struct store *s, const char *prefix, int64_t from_revision, store_watch_fn *fn,
	void *arg, GError **err);
void store_free(struct store *s);
void store_range_clear(struct store_range *r);
const struct store_kv *store_range_find(const struct store_range *r, const char *key);
void store_kv_clear(struct store_kv *kv);

/* store-embedded.c */
struct store *store_embedded_new(const struct clock *clock);
void store_embedded_expire_leases(struct store *s);
void store_embedded_compact(struct store *s);
int64_t store_embedded_revision(struct store *s);

/* store-etcd.c */
struct store *store_etcd_new(const char *url, int64_t timeout);

/* store-faulty.c: a wrapper that injects faults into calls, for tests. */
enum store_fault {
	STORE_FAULT_NONE,
	/* Fail without running the call. */
	STORE_FAULT_NOT_APPLIED,
	/*
	 * Run the call, then fail with ERR_STORE_UNSURE as if its response was lost. Ranges and
	 * watches don't run and fail as with STORE_FAULT_NOT_APPLIED.
	 */
	STORE_FAULT_RESPONSE_LOST
};
/* Selects the fault for a call: "range", "txn", "grant", "keepalive", "revoke" or "watch". */
typedef enum store_fault store_fault_fn(const char *call, void *arg);
struct store *store_faulty_new(struct store *inner, store_fault_fn *fn, void *arg);

/* store-json.c: encoding of etcd v3 JSON messages, shared by client and test server. */
char *store_json_encode_base64(const void *data, size_t len);
bool store_json_decode_base64(const json_t *text, struct bytes *out);
int64_t store_json_get_int(const json_t *v);
char *store_json_prefix_end(const char *prefix);
json_t *store_json_encode_kv(const struct store_kv *kv);
bool store_json_decode_kv(const json_t *v, struct store_kv *kv);
void store_json_set_int(json_t *o, const char *key, int64_t v);

/* document.c: the cluster configuration document. Durations are in nanoseconds. */
#define DOC_CLASS_PRIORITY_MAX 9 /* goes last in the queue; 0 goes first */

struct doc_location {
	char *section;
	int line;
	int column;
};
/*
 * A class of jobs. start_within is parsed and checked, but not used. queue_max limits the jobs
 * of one organisation in this class that have not ended, running ones included; 0 means no
 * limit. The scheduler counts the jobs of all classes with the same priority together.
 */
struct doc_class {
	char *name;
	uint32_t priority;
	bool urgent;
	int64_t start_within;
	uint32_t queue_max;
	STAILQ_ENTRY(doc_class) entry;
};
struct doc_guarantee {
	uint32_t accelerators;
	enum adjacency adjacency;
	uint32_t count;
	struct doc_location where;
	STAILQ_ENTRY(doc_guarantee) entry;
};
/* An organisation. index is its position in the document; it is set, but not used. */
struct doc_org {
	char *name;
	char *team;
	char *token_digest;
	uint32_t quota_accelerators;
	uint32_t quota_jobs;
	uint32_t rate_per_second;
	uint32_t rate_burst;
	uint32_t index;
	struct doc_location where;
	STAILQ_HEAD(, doc_guarantee) guarantees;
	STAILQ_ENTRY(doc_org) entry;
};
struct doc_team {
	char *name;
	char *token_digest;
	STAILQ_ENTRY(doc_team) entry;
};
struct doc_cell {
	char *name;
	uint32_t workers;
	uint32_t workers_per_rack;
	uint32_t accelerators;
	STAILQ_ENTRY(doc_cell) entry;
};
/*
 * The whole document. number is that of its last edit, see config_snapshot. weight_completion,
 * the key "completion_weight", is from 0 to 1: the higher it is, the further short jobs go
 * ahead of long ones in the queue (it scales the estimated run time in a job's place).
 * queue_max limits the jobs of one organisation that have not ended, running ones included.
 */
struct doc {
	uint64_t number;
	int64_t grace;
	double weight_completion;
	uint32_t queue_max;
	uint32_t payload_max;
	char *operators_digest;
	STAILQ_HEAD(, doc_class) classes;
	STAILQ_HEAD(, doc_cell) cells;
	STAILQ_HEAD(, doc_team) teams;
	STAILQ_HEAD(, doc_org) orgs;
	uint32_t orgs_len;
};

/*
 * The text of one section, named "cluster" or "teams/NAME". number is that of the edit that
 * wrote it, see config_snapshot. first_line and indent give the position of the text in its
 * source file, so that problems are reported with the line and column of that file.
 */
struct doc_section {
	char *name;
	char *text;
	uint64_t number;
	int first_line;
	int indent;
};
/* A problem in a document. rule is the message for the reader, such as "the key is missing". */
struct doc_problem {
	char *section;
	int line;
	int column;
	char *key;
	char *rule;
	STAILQ_ENTRY(doc_problem) entry;
};
STAILQ_HEAD(doc_problems, doc_problem);

struct doc *doc_new(void);
void doc_free(struct doc *d);
const struct doc_org *doc_find_org(const struct doc *d, const char *name);
const struct doc_class *doc_find_class(const struct doc *d, const char *name);
const struct doc_team *doc_find_team(const struct doc *d, const char *name);
char *doc_token_digest(const char *token);
void doc_problem_add(struct doc_problems *list, const char *section, int line, int column,
	const char *key, const char *fmt, ...) __attribute__((format(printf, 6, 7)));
void doc_problems_clear(struct doc_problems *list);
json_t *doc_problems_json(const struct doc_problems *list);

/* document-parse.c */
struct doc *doc_parse_sections(
	const struct doc_section *sections, size_t len, struct doc_problems *problems);
bool doc_split_sections(const char *text, GPtrArray *sections, struct doc_problems *problems);
void doc_section_free(void *section);

/*
 * shape-pack.c: packs a set of shapes onto workers. The heuristic may fail to find a packing
 * that exists, but never reports one that does not.
 */
struct pack_worker {
	uint32_t rack;
	uint32_t free;
};
struct pack_shape {
	uint32_t accelerators;
	enum adjacency adjacency;
};
/* Accelerators of one worker that are allocated to a shape, which may take several workers. */
struct pack_allocation {
	uint32_t shape;
	uint32_t worker;
	uint32_t accelerators;
};
bool pack_one(const struct pack_shape *shape, uint32_t index, struct pack_worker *workers,
	size_t workers_len, GArray *allocations);
size_t pack_all(const struct pack_shape *shapes, size_t shapes_len, struct pack_worker *workers,
	size_t workers_len, GArray *allocations, uint32_t *first_failed);

/* document-check.c */
void doc_check(const struct doc *d, struct doc_problems *problems);

/*
 * config-store.c: the configuration document, stored as one key per section. Edits are numbered
 * from 1 across all sections. number is that of the last edit; messages carry it as
 * config_revision. head_revision is the store revision of the head key, an unrelated number.
 */
struct config_snapshot {
	GPtrArray *sections;
	int64_t head_revision;
	uint64_t number;
};
/*
 * Replaces a section. base is the number of the edit that wrote the text that is replaced; 0
 * for a new section.
 */
struct config_edit {
	const char *section;
	const char *text;
	uint64_t base;
	const char *who;
	int64_t wall_ns;
};
bool config_load(struct store *s, struct config_snapshot *snapshot, GError **err);
void config_snapshot_clear(struct config_snapshot *c);
void config_snapshot_copy(struct config_snapshot *to, const struct config_snapshot *from);
const struct doc_section *config_find_section(
	const struct config_snapshot *c, const char *section);
bool config_put(struct store *s, const struct config_edit *edit, uint64_t *number,
	struct doc_problems *problems, struct doc_section *current, GError **err);
struct doc *config_parse(const struct config_snapshot *c);
json_t *config_history(struct store *s, GError **err);

/*
 * cell-term.c: leader election for the coordinator of a cell. held tells whether the lease key
 * exists. roster lists the incarnations of the cell's agents, formatted by coord_roster:
 * "NAME/INCARNATION,-NAME/INCARNATION@WALL_MS,...", where a minus sign marks one that has died.
 * The roster of a member_record (protocol.h) is another list.
 */
struct cell_term {
	uint64_t term;
	char *addr;
	char *name;
	char *roster;
	int64_t term_revision;
	bool held;
	int64_t lease;
};
bool cell_term_read(struct store *s, const char *cell, struct cell_term *out, GError **err);
bool cell_term_acquire(struct store *s, const char *cell, const char *addr, const char *name,
	int64_t ttl_s, struct cell_term *t, GError **err);
bool cell_term_renew(
	struct store *s, const char *cell, int64_t ttl_s, struct cell_term *t, GError **err);
bool cell_term_save_roster(struct store *s, const char *cell, struct cell_term *t,
	const char *roster, GError **err);
bool cell_term_release(struct store *s, struct cell_term *t, GError **err);
void cell_term_clear(struct cell_term *t);

/*
 * job-store.c: persistent records of accepted jobs. placed lists the agents of the attempt as
 * "NAME/INCARNATION,...", with the incarnation in hex.
 */
struct job_record {
	struct job_spec spec;
	uint32_t attempt;
	char *placed;
	struct job_result result;
	int64_t ended_wall_ms;
};
struct job_write {
	struct job_record record;
	bool remove;
};
extern const struct field_table job_record_fields;
bool job_store_load(struct store *s, const char *cell, GPtrArray *records, GError **err);
bool job_store_write(struct store *s, const char *cell, const struct cell_term *term,
	const struct job_write *writes, size_t len, bool *term_current, GError **err);
void job_record_free(void *record);

#endif
