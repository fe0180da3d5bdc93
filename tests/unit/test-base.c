#include "unit.h"

#include "state.h"

#include <string.h>

static void durations_need_unit(void)
{
	int64_t ns = 0;

	CU_ASSERT(duration_parse("9.4s", &ns));
	CU_ASSERT_EQUAL(ns, 94 * NSEC_PER_SEC / 10);
	CU_ASSERT(duration_parse("250ms", &ns));
	CU_ASSERT_EQUAL(ns, 250 * NSEC_PER_MSEC);
	CU_ASSERT_FALSE(duration_parse("5", &ns));
	CU_ASSERT_FALSE(duration_parse("-1s", &ns));
	CU_ASSERT_FALSE(duration_parse("1 s", &ns));
}

/*
 * Each kind of error has a name that parses to the same kind, an HTTP status and an exit code.
 * An error with an unknown outcome must not claim that the job has not run.
 */
static void error_info_complete(void)
{
	for (int i = 0; i < ERR_COUNT; i++) {
		const struct error_info *a = error_info((enum error_kind)i);
		enum error_kind parsed = ERR_COUNT;

		CU_ASSERT_PTR_NOT_NULL_FATAL(a->name);
		CU_ASSERT(a->status >= 400 && a->status < 600);
		CU_ASSERT(a->exit_code > 0);
		CU_ASSERT(error_kind_parse(a->name, &parsed));
		CU_ASSERT_EQUAL(parsed, (enum error_kind)i);
	}
	CU_ASSERT_FALSE(error_info(ERR_UNKNOWN_OUTCOME)->not_run);
	CU_ASSERT_FALSE(error_info(ERR_MEMBER_LOST)->not_run);
	CU_ASSERT_FALSE(error_info(ERR_STORE_UNSURE)->not_run);
}

/*
 * The error for a value out of range names the setting and the value. An option of another role
 * is rejected.
 */
static void invalid_settings_rejected(void)
{
	static const struct option_entry table[] = {
		{"count", OPTION_NUMBER, "3", 1, 9, NULL, "a count"},
		{"pause", OPTION_DURATION, "1s", 0, NSEC_PER_SEC, "agent", "a pause"},
	};
	char *valid[] = {"agent", "--count=7", NULL};
	char *out_of_range[] = {"agent", "--count=70", NULL};
	char *other_role[] = {"entry", "--pause=1s", NULL};
	g_autoptr(GError) err = NULL;
	struct options *o = options_parse(table, 2, "agent", 2, valid, &err);

	CU_ASSERT_PTR_NOT_NULL_FATAL(o);
	CU_ASSERT_EQUAL(options_number(o, "count"), 7);
	CU_ASSERT_EQUAL(options_number(o, "pause"), NSEC_PER_SEC);
	options_free(o);
	CU_ASSERT_PTR_NULL(options_parse(table, 2, "agent", 2, out_of_range, &err));
	CU_ASSERT_PTR_NOT_NULL(strstr(err->message, "count"));
	CU_ASSERT_PTR_NOT_NULL(strstr(err->message, "70"));
	g_clear_error(&err);
	CU_ASSERT_PTR_NULL(options_parse(table, 2, "entry", 2, other_role, &err));
}

void unit_base(CU_pSuite s)
{
	CU_add_test(s, "durations need a unit", durations_need_unit);
	CU_add_test(s, "every error has a name, an HTTP status and an exit code",
		error_info_complete);
	CU_add_test(s, "invalid settings are rejected", invalid_settings_rejected);
}
