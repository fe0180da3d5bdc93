#include "prop.h"

extern "C" {
#include "platform.h"
#include "workload.h"
}

#include <cstring>
#include <random>
#include <string>
#include <vector>

/*
 * What another writer may have left where the platform's messages and the store's items are read:
 * valid ones with some bytes changed, left out or replaced by values that are out of range.
 * Reading them must not end the process, and the scheduler must stay sound with what was read.
 */

namespace
{

const char *const odd_values[] = {"null", "-1", "0", "1e400", "-1e308", "99999999999999999999",
	"9223372036854775807", "4294967296", "\"\"", "[]", "{}", "[[[[[[[[[[[[[[[[[[[[", "\"\\u0000\"",
	"\xff", "\"", ",", "}"};

const char *const CONFIG =
	"{\"version\":7,\"routes\":[{\"name\":\"q\",\"host\":\"h\",\"prefix\":\"/p/\","
	"\"service\":\"s\",\"priority\":1,\"max_attempts\":2,\"stretch_factor\":3.0,"
	"\"target_latency_ms\":250}],\"tenants\":[{\"name\":\"o\",\"api_keys\":[\"k\"],"
	"\"guaranteed\":{\"gpu\":16}}]}";

/* Changes a text in a few places. */
std::string mutate(std::mt19937 *rng, std::string text)
{
	for (unsigned int n = (*rng)() % 4; n > 0 && !text.empty(); n--) {
		size_t at = (*rng)() % text.size();
		size_t len = (*rng)() % 6;

		switch ((*rng)() % 4) {
		case 0:
			text[at] = (char)(*rng)();
			break;
		case 1:
			text.erase(at, len);
			break;
		case 2:
			text.replace(at, len, odd_values[(*rng)() % ARRAY_LEN(odd_values)]);
			break;
		default:
			text.insert(at, text.substr((*rng)() % text.size(), 20));
			break;
		}
	}
	return text;
}

/* Changes the bytes of an encoded message; its length stays. */
void mutate_bytes(std::mt19937 *rng, struct bytes *b)
{
	for (unsigned int n = (*rng)() % 5; n > 0 && b->len > 0; n--)
		((uint8_t *)b->data)[(*rng)() % b->len] = (uint8_t)(*rng)();
}

void on_start(void *arg, const char *, const wl_start_order *)
{
	*(bool *)arg = true;
}
void on_stop(void *, const char *, const wl_stop_order *)
{
}
void on_pace(void *, const char *, const wl_pace_order *)
{
}
void on_stored(void *, const char *, const wl_stored *)
{
}
void on_dirty(void *, const char *, wl_store_urgency)
{
}

wl_config *config_parse(const std::string &config)
{
	bytes text = {(void *)config.data(), config.size()};

	return pf_config_parse(&text, 1, nullptr);
}

/* started is set once a task is started. */
wl *scheduler_new(bool *started)
{
	const wl_limits limits = {NSEC_PER_SEC, NSEC_PER_SEC, 2, NSEC_PER_SEC, 8 * NSEC_PER_SEC,
		3 * NSEC_PER_SEC, 60 * NSEC_PER_SEC, 0, 0, 0};
	const wl_callbacks out = {on_start, on_stop, on_pace, on_stored, on_dirty, started};
	/* The scheduler keeps a reference to it. */
	static wl_config *config = config_parse(CONFIG);
	wl *w = wl_new(1, &limits, &out);

	wl_set_config(w, config);
	return w;
}

bool parse_answer(const std::string &text, pf_reply *r)
{
	http_call *c = http_call_new("POST", "http://127.0.0.1/");

	c->status = 200;
	c->answer = bytes_copy(text.data(), text.size());
	pf_reply_parse(c, r);
	http_call_free(c);
	return r->lists_present;
}

/* Passes a worker's lists to a scheduler as its agent does. */
void report_lists(wl *w, int64_t now, const pf_reply *r)
{
	wl_report out = {};

	out.node = (char *)"w1";
	out.worker_instance = (char *)"w1@1";
	out.service = (char *)"s";
	out.cores_m = 32000;
	out.memory_mb = 64000;
	out.accelerators = 8;
	out.covers = 100;
	out.runs = r->runs;
	out.runs_len = r->runs_len;
	out.ends = r->ends;
	out.ends_len = r->ends_len;
	out.partial = !r->lists_complete;
	wl_node_report(w, now, now, &out);
}

wl_spec job_new()
{
	wl_spec s = {};

	s.id = xstrdup("00000000000000a1");
	s.queue = xstrdup("q");
	s.service = xstrdup("s");
	s.org = xstrdup("o");
	s.payload = xstrdup("p");
	s.steps_len = 2;
	s.steps = (wl_step *)xcalloc(2, sizeof(*s.steps));
	s.steps[0].count = 3;
	s.steps[0].accelerators = 1;
	s.steps[0].checkpoints = true;
	s.steps[1].count = 2;
	s.steps[1].gang = true;
	s.steps[1].after_len = 1;
	s.steps[1].after = (decltype(s.steps[1].after))xcalloc(1, sizeof(*s.steps[1].after));
	s.repetitions = 2;
	s.interval_ms = 1000;
	return s;
}

/* Lists of a worker: the scheduler takes what could be read, and goes on. */
void odd_lists(uint32_t seed)
{
	std::mt19937 rng(seed);
	bool started = false;
	wl *w = scheduler_new(&started);
	wl_spec s = job_new();
	int64_t now = NSEC_PER_SEC;

	wl_job_add(w, now, now, &s, nullptr);
	for (int i = 0; i < 8; i++) {
		std::string n = std::to_string(i + 1);
		std::string text = "{\"clock_ms\":5" + n +
				   ",\"running\":[[\"00000000000000a1.0.0.0\",1,\"c\",41,7],"
				   "[\"00000000000000a1.0.0.1\",1,\"\",3]],\"finished\":[[" + n +
				   ",\"00000000000000a1.0.0.2\",1,\"done\",\"\"],[9" + n +
				   ",\"00000000000000a1.1.1.0\",2,\"failed\",\"\"]]}";
		pf_reply r;

		if (parse_answer(mutate(&rng, text), &r))
			report_lists(w, now, &r);
		pf_reply_clear(&r);
		wl_pass(w, now, now);
		now += 300 * NSEC_PER_MSEC;
	}
	wl_free(w);
	fields_clear(&wl_spec_fields, &s);
	RC_CLASSIFY(started, "tasks were started");
}

/* A job and its progress in the store: both are rejected, or the scheduler runs them soundly. */
void odd_items(uint32_t seed)
{
	std::mt19937 rng(seed);
	bool started = false;
	wl *w = scheduler_new(&started);
	wl_spec s = job_new();
	wl_mark marks[3] = {};
	wl_progress p = {};
	pf_reply none = {};
	int64_t now = NSEC_PER_SEC;

	marks[0].failures = 1;
	marks[0].node = (char *)"w1";
	marks[0].attempt = 3;
	marks[1].index = 1;
	marks[1].done = true;
	marks[2].step = 1;
	marks[2].index = WL_INDEX_GANG;
	marks[2].checkpoint = (char *)"c";
	p.state = WL_RUNNING;
	p.queue = (char *)"q";
	p.marks = marks;
	p.marks_len = 3;
	bytes spec = fields_encode(&wl_spec_fields, &s);
	bytes progress = fields_encode(&wl_progress_fields, &p);
	fields_clear(&wl_spec_fields, &s);
	p = {};
	mutate_bytes(&rng, &spec);
	mutate_bytes(&rng, &progress);
	wl_node_await_report(w, now, "w1");
	if (fields_decode(&wl_spec_fields, &s, spec.data, spec.len, nullptr)) {
		bool has_progress = fields_decode(
			&wl_progress_fields, &p, progress.data, progress.len, nullptr);
		uint64_t tasks = 0;

		for (uint32_t i = 0; i < s.steps_len; i++)
			tasks += s.steps[i].count;
		if (wl_spec_check(&s, nullptr) && tasks * MAX(s.repetitions, 1) < 5000)
			wl_job_add(w, now, now, &s, has_progress ? &p : nullptr);
		fields_clear(&wl_progress_fields, &p);
	}
	fields_clear(&wl_spec_fields, &s);
	none.lists_complete = true;
	for (int i = 0; i < 6; i++) {
		uint64_t version;
		bytes b;

		report_lists(w, now, &none);
		wl_pass(w, now, now);
		b = wl_job_progress(w, "00000000000000a1", &version);
		if (b.data != nullptr)
			wl_job_stored(w, now, "00000000000000a1", version);
		bytes_clear(&b);
		now += 700 * NSEC_PER_MSEC;
	}
	wl_job_cancel(w, now, now, "00000000000000a1");
	wl_pass(w, now, now);
	wl_free(w);
	bytes_clear(&spec);
	bytes_clear(&progress);
	RC_CLASSIFY(started, "tasks were started");
}

/* Status reports, submissions and configurations. */
void odd_documents(uint32_t seed)
{
	std::mt19937 rng(seed);
	std::string beat = mutate(&rng,
		"{\"service\":\"s\",\"zone\":\"z\",\"state\":\"draining\",\"born\":17,\"capacity\":"
		"{\"cpu\":1000,\"task_memory_mb\":5,\"gpu\":8},\"labels\":[\"a\",\"r1-3\"],"
		"\"drain_remaining_ms\":900,\"sequence\":4}");
	std::string job = mutate(&rng,
		"{\"spec\":\"x\",\"repetitions\":3,\"start_at_ms\":17,\"interval_ms\":10,\"steps\":"
		"[{\"count\":4,\"cpu\":500},{\"count\":2,\"after\":[0],\"gang_scheduled\":true}]}");
	bytes text = {(void *)beat.data(), beat.size()};
	pf_heartbeat b;
	wl_spec s = {};
	wl_config *c = config_parse(mutate(&rng, CONFIG));

	pf_heartbeat_parse("PUT", "/v1/instances/i-1", &text, &b);
	pf_heartbeat_clear(&b);
	s.id = xstrdup("00000000000000a1");
	text = {(void *)job.data(), job.size()};
	pf_job_parse(&text, &s, nullptr);
	fields_clear(&wl_spec_fields, &s);
	if (c != nullptr)
		wl_config_route(c, "h", "/p/x");
	wl_config_free(c);
}

} // namespace

void prop_odd()
{
	check_property("platform: changed lists of a worker leave the scheduler sound",
		[] { odd_lists(*rc::gen::inRange<uint32_t>(0, UINT32_MAX)); });
	check_property("store: a changed job or progress is rejected or leaves the scheduler sound",
		[] { odd_items(*rc::gen::inRange<uint32_t>(0, UINT32_MAX)); });
	check_property("platform: changed reports, jobs and configurations are read safely",
		[] { odd_documents(*rc::gen::inRange<uint32_t>(0, UINT32_MAX)); });
}
