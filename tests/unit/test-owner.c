#include "unit.h"

#include "workload.h"

#include <string.h>

/* Whose a job is, in memory and in stored records. */

static struct wl_owner owner(const char *org, const char *queue, const char *address)
{
	return (struct wl_owner){
		.org = (char *)org, .queue = (char *)queue, .address = (char *)address};
}

/* Guards against a job that another organisation or queue takes for its own. */
static void test_owner_same(void)
{
	static const struct {
		const char *org;
		const char *queue;
		const char *address;
		bool same;
	} rows[] = {
		{"shop", "proofs", "a.example/proofs/", true},
		{"press", "proofs", "a.example/proofs/", false},
		{"shop", "plates", "a.example/plates/", false},
		{"shop", "renamed", "a.example/proofs/", true},
		{"shop", "proofs", "b.example/moved/", true},
		{"shop", "proofs", NULL, true},
		{"shop", "plates", NULL, false},
		{NULL, "proofs", "a.example/proofs/", true},
		{NULL, "plates", "a.example/plates/", false},
	};
	const struct wl_owner a = owner("shop", "proofs", "a.example/proofs/");

	for (size_t i = 0; i < ARRAY_LEN(rows); i++) {
		const struct wl_owner b = owner(rows[i].org, rows[i].queue, rows[i].address);

		CU_ASSERT_EQUAL(wl_owner_same(&a, &b), rows[i].same);
		CU_ASSERT_EQUAL(wl_owner_same(&b, &a), rows[i].same);
	}
}

/* The fields of a table as far as the one at an offset, with which a later version began. */
static struct field_table fields_before(const struct field_table *t, size_t offset)
{
	struct field_table earlier = *t;

	while (earlier.count > 0 && t->fields[earlier.count - 1].offset != offset)
		earlier.count--;
	earlier.count--;
	return earlier;
}

/* Guards against records of an earlier version that can't be read, or are nobody's. */
static void test_earlier_records(void)
{
	struct wl_step step = {.count = 1};
	const struct wl_spec stored = {.id = (char *)"0000000000000001",
		.queue = (char *)"proofs",
		.org = (char *)"shop",
		.payload = (char *)"100",
		.steps = &step,
		.steps_len = 1};
	const struct wl_progress running = {
		.state = WL_RUNNING, .queue = (char *)"proofs", .org = (char *)"shop"};
	const struct wl_owner caller = owner("shop", "proofs", "a.example/proofs/");
	const struct field_table spec_fields =
		fields_before(&wl_spec_fields, offsetof(struct wl_spec, address));
	const struct field_table progress_fields =
		fields_before(&wl_progress_fields, offsetof(struct wl_progress, address));
	struct bytes spec_record = fields_encode(&spec_fields, &stored);
	struct bytes progress_record = fields_encode(&progress_fields, &running);
	struct wl_spec spec = {0};
	struct wl_spec repeat = stored;
	struct wl_progress progress = {0};
	struct wl_owner o;

	CU_ASSERT_TRUE(
		fields_decode(&wl_spec_fields, &spec, spec_record.data, spec_record.len, NULL));
	CU_ASSERT_TRUE(fields_decode(&wl_progress_fields, &progress, progress_record.data,
		progress_record.len, NULL));
	o = wl_progress_owner(&progress);
	CU_ASSERT_TRUE(wl_owner_same(&o, &caller));
	repeat.address = caller.address;
	repeat.accepted_ms = 5;
	CU_ASSERT_TRUE(wl_spec_same(&spec, &repeat));
	repeat.payload = (char *)"200";
	CU_ASSERT_FALSE(wl_spec_same(&spec, &repeat));
	fields_clear(&wl_spec_fields, &spec);
	fields_clear(&wl_progress_fields, &progress);
	bytes_clear(&spec_record);
	bytes_clear(&progress_record);
}

void unit_owner(CU_pSuite s)
{
	CU_add_test(s, "owners of one id are told apart", test_owner_same);
	CU_add_test(s, "records of an earlier version have an owner", test_earlier_records);
}
