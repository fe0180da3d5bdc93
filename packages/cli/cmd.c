#include "cli.h"

#include <string.h>

/* All commands. cmd_completion needs those with the same first word to be adjacent. */
static const struct cmd_entry commands[] = {
	{"job submit", "submit",
		"ORG [--class C] [--kind K] [--accelerators N] [--within W] ...",
		"submit a job and wait for its result", cmd_job_submit},
	{"job status", "status", "ID", "show one job", cmd_job_status},
	{"job result", "result", "ID", "print the upstream's response of an ended job",
		cmd_job_result},
	{"job wait", "wait", "ID", "wait until a job has ended", cmd_job_wait},
	{"job cancel", "cancel", "ID", "cancel a job", cmd_job_cancel},
	{"job list", "jobs", "", "list jobs", cmd_job_list},
	{"job explain", "explain", "ID", "explain why a job is waiting or where it was placed",
		cmd_job_explain},
	{"org list", "orgs", "", "list organisations with their usage and lending",
		cmd_org_list},
	{"org show", NULL, "ORG", "show one organisation", cmd_org_show},
	{"worker list", "workers", "", "list workers", cmd_worker_list},
	{"worker show", NULL, "WORKER", "show one worker", cmd_worker_show},
	{"worker drain", NULL, "WORKER", "stop placing work on a worker", cmd_worker_drain},
	{"worker undrain", NULL, "WORKER", "resume placing work on a worker",
		cmd_worker_undrain},
	{"cell list", "cells", "", "list cells", cmd_cell_list},
	{"config check", NULL, "FILE", "validate a document without a cluster",
		cmd_config_check},
	{"config apply", NULL, "FILE", "replace each section that differs from a document",
		cmd_config_apply},
	{"config get", NULL, "[SECTION]", "list the sections, or print one", cmd_config_get},
	{"config set", NULL, "SECTION FILE [BASE]", "replace a section, based on edit BASE",
		cmd_config_set},
	{"config diff", NULL, "SECTION FILE", "compare a file with the current section",
		cmd_config_diff},
	{"config history", NULL, "", "list the edits of the configuration", cmd_config_history},
	{"config status", NULL, "", "show the configuration in use on each process",
		cmd_config_status},
	{"audit", NULL, "", "list changes of configuration and jobs", cmd_audit},
	{"completion", NULL, "", "print the completion script for bash", cmd_completion},
};

const struct cmd_entry *const cmd_table = commands;
const size_t cmd_table_len = ARRAY_LEN(commands);

/* Return how many arguments a command's name takes up, or 0 if they do not start with it. */
static int match_name(const char *name, int argc, char **argv)
{
	g_auto(GStrv) words = g_strsplit(name, " ", -1);
	int n = (int)g_strv_length(words);

	if (argc < n)
		return 0;
	for (int i = 0; i < n; i++) {
		if (strcmp(words[i], argv[i]) != 0)
			return 0;
	}
	return n;
}

/* Look up a command by name or alias; *name_args is how many arguments its name takes up. */
const struct cmd_entry *cmd_find(int argc, char **argv, int *name_args)
{
	for (size_t i = 0; i < ARRAY_LEN(commands); i++) {
		*name_args = match_name(commands[i].name, argc, argv);
		if (*name_args == 0 && commands[i].alias != NULL)
			*name_args = match_name(commands[i].alias, argc, argv);
		if (*name_args > 0)
			return &commands[i];
	}
	return NULL;
}

/* completion: print a bash script that completes commands and file names. */
int cmd_completion(struct cli *c, int argc, char **argv)
{
	(void)c;
	(void)argc;
	(void)argv;
	printf("_damaskpath() {\n\tlocal line=\"${COMP_WORDS[*]:1:COMP_CWORD-1}\"\n"
	       "\tlocal words=\"\"\n\tcase \"$line\" in\n");
	printf("\t\"\") words=\"");
	for (size_t i = 0; i < ARRAY_LEN(commands); i++) {
		size_t len = strcspn(commands[i].name, " ");

		if (i == 0 || strncmp(commands[i].name, commands[i - 1].name, len + 1) != 0)
			printf("%.*s ", (int)len, commands[i].name);
	}
	printf("\" ;;\n");
	for (size_t i = 0; i < ARRAY_LEN(commands); i++) {
		size_t len = strcspn(commands[i].name, " ");

		if (commands[i].name[len] == '\0' ||
			(i > 0 &&
				strncmp(commands[i].name, commands[i - 1].name, len + 1) == 0))
			continue;
		printf("\t%.*s) words=\"", (int)len, commands[i].name);
		for (size_t k = i; k < ARRAY_LEN(commands); k++) {
			if (strncmp(commands[i].name, commands[k].name, len + 1) == 0)
				printf("%s ", commands[k].name + len + 1);
		}
		printf("\" ;;\n");
	}
	printf("\t*) COMPREPLY=($(compgen -f -- \"${COMP_WORDS[COMP_CWORD]}\")); return ;;\n"
	       "\tesac\n\tCOMPREPLY=($(compgen -W \"$words\" -- "
	       "\"${COMP_WORDS[COMP_CWORD]}\"))\n"
	       "}\ncomplete -F _damaskpath damaskpath\n");
	return EXIT_OK;
}
