/* X-macro table of all log events. Define EVENT(id, name, fields, help) before including it. */
EVENT(EV_START, "start", "role zone version", "a process started")
EVENT(EV_STOP, "stop", "why", "a process begins to stop, or has stopped")
EVENT(EV_RELOAD, "reload", "path", "the settings file was read again")
EVENT(EV_LOG_DROPPED, "log-dropped", "lines", "log lines were dropped in the last second")
EVENT(EV_STORE_LOST, "store-lost", "call status age_ms", "the store no longer answers")
EVENT(EV_STORE_BACK, "store-back", "gap_ms", "the store answers again")
EVENT(EV_DETOUR, "detour", "addr open why",
	"calls to the store may go through this process, or no longer")
EVENT(EV_CONFIG, "config", "version revision queues orgs", "another configuration is in force")
EVENT(EV_CONFIG_BAD, "config-bad", "revision error",
	"a configuration cannot be read; the last one stays")
EVENT(EV_READY, "ready", "ready config_age_ms", "the readiness of an entry changed")
EVENT(EV_SUBMIT, "submit", "job queue org status reason config",
	"a job was accepted or refused")
EVENT(EV_QUERY, "query", "job status state config_age_ms", "a job's state was answered")
EVENT(EV_CANCEL, "cancel", "job status config_age_ms", "a cancellation was answered")
EVENT(EV_DENY, "deny", "path status reason key", "a call was refused before it reached a job")
EVENT(EV_CLIENT_LIMIT, "client-limit", "cause addr listener bytes connections",
	"a client or peer was refused or disconnected, as it or all of them use too much")
EVENT(EV_TERM_TAKEN, "term-taken", "term revision jobs nodes", "this process coordinates now")
EVENT(EV_NODE_KEY, "node-key", "node change revision known",
	"a transaction on a node's key in the store ended")
EVENT(EV_TERM_LOST, "term-lost", "term why", "this process no longer coordinates")
EVENT(EV_TERM_SEEN, "term-seen", "term addr", "an agent follows this coordinator")
EVENT(EV_LINK_LOST, "link-lost", "addr why silent_ms", "an agent lost its coordinator")
EVENT(EV_COORD_LOAD, "coordinator-load",
	"waiting placed pass_ms report_ms answer_ms stored_ms inbox_ms",
	"time of the coordinator in the last seconds as sum/times/longest")
EVENT(EV_WORKER_UP, "worker-up", "node life rack free", "a worker can take tasks")
EVENT(EV_WORKER_SILENT, "worker-silent", "node life tasks until_ms",
	"a worker's agent is out of reach")
EVENT(EV_WORKER_GONE, "worker-gone", "node life why tasks",
	"a worker's tasks are proved not to run")
EVENT(EV_WORKER_CRASH, "worker-crash", "node life why agent_away tasks suspects",
	"a worker was lost with its runs")
EVENT(EV_CRASH_SUSPECT, "crash-suspect", "task attempt node answered age_ms single crashes",
	"a run had just started when its worker crashed")
EVENT(EV_WORKER_LOST, "worker-lost", "life silent_ms",
	"an agent's worker is silent and its leases have run out")
EVENT(EV_WORKER_LIFE, "worker-life", "life previous starts",
	"an agent's worker has started; its pending starts are dropped")
EVENT(EV_WORKER_FENCED, "worker-fenced", "life term rank",
	"a worker has refused a call, as it has seen a higher fencing token")
EVENT(EV_REPORT_OUTDATED, "report-outdated", "report sequence life why",
	"a worker's report about itself came late and is ignored")
EVENT(EV_WORKER_DRAIN, "worker-drain", "node life remaining_ms tasks", "a worker is leaving")
EVENT(EV_ZONE_EVACUATED, "zone-evacuated", "zone revision age_ms workers runs",
	"the workers of a zone get no more tasks")
EVENT(EV_ZONE_RETURNED, "zone-returned", "zone workers runs after_s",
	"the workers of a zone get tasks again")
EVENT(EV_WORKER_SUSPECT, "worker-suspect", "node strikes",
	"a worker fails or stalls what it runs")
EVENT(EV_WORKER_PROBATION, "worker-probation", "node pause_ms",
	"a run failed at its start: the worker gets no tasks for a while")
EVENT(EV_WORKER_SPEEDS, "worker-speeds", "service known low sound least uneven",
	"the workers of a service begin or cease to be told apart by speed")
EVENT(EV_JOB_SEEN, "job-seen", "job queue org tasks revision", "the coordinator has a new job")
EVENT(EV_JOB_REQUEUED, "job-requeued", "job", "no start of a placed job took effect")
EVENT(EV_JOB_REPLACED, "job-replaced", "job",
	"another job was accepted under the id of a removed one")
EVENT(EV_JOB_END, "job-end", "job state why", "a job has ended")
EVENT(EV_TASK_START, "task-start", "task attempt node checkpoint waited_ms",
	"a task was placed")
EVENT(EV_TASK_UNPLACED, "task-unplaced", "task attempt node why",
	"a placement was taken back before its start was sent")
EVENT(EV_TASK_RUN, "task-run", "task attempt node answer", "a worker answered a start")
EVENT(EV_START_UNSURE, "start-unsure", "task attempt sends again",
	"a worker did not answer a start")
EVENT(EV_START_REFUSED, "start-refused", "task attempt sends answer",
	"a worker refused a start that an earlier send may have started")
EVENT(EV_RUN_DOUBLED, "run-doubled",
	"task attempt node ended current_attempt current_node released",
	"a worker lists a run, or its end, while its task runs on another")
EVENT(EV_WORKER_OVERBOOKED, "worker-overbooked",
	"node life orphans free_accelerators free_cores_m free_memory_mb shrunk",
	"the runs of a worker need more than its capacity")
EVENT(EV_TASK_END, "task-end", "task attempt node how saved", "a run has ended")
EVENT(EV_CHECKPOINT_REFUSED, "checkpoint-refused", "task attempt bytes kept why",
	"a checkpoint was not kept; the task keeps the one before")
EVENT(EV_CHECKPOINT_UNSAVED, "checkpoint-unsaved", "job checkpoints bytes",
	"a job's longest checkpoints are not stored, as its record would be too large")
EVENT(EV_TASK_STOP, "task-stop", "task attempt node why for", "a run is stopped")
EVENT(EV_TASK_PACE, "task-pace", "task node percent why", "a filler is slowed or released")
EVENT(EV_BAD_INPUT, "bad-input", "from what", "a message cannot be read and is ignored")
