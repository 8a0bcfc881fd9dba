/*
 * hostfault.c: a preloaded library that steps the wall clock and fails socket calls of the process that loads it. It
 * needs no privileges.
 *
 * Wall clock: Go reads clocks through the vDSO, so the library overwrites the entry of __vdso_clock_gettime in the vDSO page
 * of this process with a jump to clock_gettime_stepped, which adds an offset to CLOCK_REALTIME. CLOCK_MONOTONIC is unchanged.
 *
 * Socket calls: a seccomp filter reports accept4, connect and socket to a thread of this library, which lets each call
 * continue or fails it with the error that the controlling process has set.
 *
 * The controlling process writes struct control, which is shared through the file that HOSTFAULT_CONTROL names.
 */
#define _GNU_SOURCE
#include <elf.h>
#include <errno.h>
#include <fcntl.h>
#include <linux/audit.h>
#include <linux/filter.h>
#include <linux/seccomp.h>
#include <pthread.h>
#include <signal.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/auxv.h>
#include <sys/ioctl.h>
#include <sys/mman.h>
#include <sys/prctl.h>
#include <sys/syscall.h>
#include <time.h>
#include <unistd.h>

#ifndef __x86_64__
#error "hostfault.c supports only x86-64"
#endif

/* Settings and counter of one system call that can be made to fail. callFault in host.go has the same layout. */
struct call_fault {
	uint32_t one_in; /* 0: never fails; n: one call in n fails */
	int32_t error;   /* positive errno value */
	uint64_t failed; /* number of calls that were made to fail so far */
};

enum { FAULT_ACCEPT, FAULT_CONNECT, FAULT_SOCKET, FAULT_COUNT };

/* Shared with the controlling process. control in host.go has the same layout. */
struct control {
	int64_t wall_offset; /* nanoseconds added to the wall clock */
	struct call_fault calls[FAULT_COUNT];
};

static struct control *control;

static void fatal(const char *what)
{
	fprintf(stderr, "hostfault: %s: %s\n", what, strerror(errno));
	_exit(70);
}

/* clock_gettime_stepped replaces the vDSO's function. It runs on stacks of the Go runtime, so it must not use libc. */
static int clock_gettime_stepped(clockid_t id, struct timespec *ts)
{
	const int64_t second = 1000000000;
	long result;

	__asm__ volatile("syscall"
			 : "=a"(result)
			 : "a"(SYS_clock_gettime), "D"((long)id), "S"(ts)
			 : "rcx", "r11", "memory");
	if (result == 0 && (id == CLOCK_REALTIME || id == CLOCK_REALTIME_COARSE)) {
		int64_t at = ts->tv_sec * second + ts->tv_nsec + __atomic_load_n(&control->wall_offset, __ATOMIC_RELAXED);
		ts->tv_sec = at / second;
		ts->tv_nsec = at % second;
	}
	return (int)result;
}

/* vdso_symbol returns the address of a function in the vDSO, or NULL if the vDSO does not define it. */
static unsigned char *vdso_symbol(const char *name)
{
	unsigned char *base = (unsigned char *)getauxval(AT_SYSINFO_EHDR);
	Elf64_Ehdr *header = (Elf64_Ehdr *)base;
	Elf64_Sym *symbols = NULL;
	const char *strings = NULL;
	Elf64_Word count = 0;

	if (base == NULL)
		return NULL;
	Elf64_Shdr *sections = (Elf64_Shdr *)(base + header->e_shoff);
	for (int i = 0; i < header->e_shnum; i++) {
		if (sections[i].sh_type != SHT_DYNSYM)
			continue;
		symbols = (Elf64_Sym *)(base + sections[i].sh_offset);
		count = sections[i].sh_size / sizeof(Elf64_Sym);
		strings = (const char *)(base + sections[sections[i].sh_link].sh_offset);
	}
	for (Elf64_Word i = 0; i < count; i++)
		if (strcmp(strings + symbols[i].st_name, name) == 0)
			return base + symbols[i].st_value;
	return NULL;
}

static void replace_clock(void)
{
	unsigned char jump[12] = {0x48, 0xb8, 0, 0, 0, 0, 0, 0, 0, 0, 0xff, 0xe0}; /* mov rax, address; jmp rax */
	void *target = (void *)clock_gettime_stepped;
	unsigned char *entry = vdso_symbol("__vdso_clock_gettime");

	if (entry == NULL) {
		errno = ENOSYS;
		fatal("vDSO does not define __vdso_clock_gettime");
	}
	memcpy(jump + 2, &target, sizeof target);
	int memory = open("/proc/self/mem", O_RDWR | O_CLOEXEC); /* mprotect cannot make the vDSO writable */
	if (memory < 0 || pwrite(memory, jump, sizeof jump, (off_t)(uintptr_t)entry) != sizeof jump)
		fatal("write to the vDSO");
	close(memory);
}

static int notify_fd = -1; /* notification descriptor of the seccomp filter */

/* injected_error returns the error with which a call must fail, or 0 if the call continues. */
static int injected_error(int number)
{
	static uint64_t random_state = 88172645463325252ull;
	int index = number == SYS_accept4 ? FAULT_ACCEPT : number == SYS_connect ? FAULT_CONNECT : FAULT_SOCKET;
	struct call_fault *fault = &control->calls[index];
	uint32_t one_in = __atomic_load_n(&fault->one_in, __ATOMIC_RELAXED);

	random_state ^= random_state << 13;
	random_state ^= random_state >> 7;
	random_state ^= random_state << 17;
	if (one_in == 0 || random_state % one_in != 0)
		return 0;
	__atomic_add_fetch(&fault->failed, 1, __ATOMIC_RELAXED);
	return __atomic_load_n(&fault->error, __ATOMIC_RELAXED);
}

/* handle_notifications responds to each reported call. Its thread starts before the filter is installed and is not filtered. */
static void *handle_notifications(void *unused)
{
	struct seccomp_notif call;
	struct seccomp_notif_resp response;

	(void)unused;
	while (__atomic_load_n(&notify_fd, __ATOMIC_ACQUIRE) < 0)
		usleep(100);
	for (;;) {
		memset(&call, 0, sizeof call);
		if (ioctl(notify_fd, SECCOMP_IOCTL_NOTIF_RECV, &call) != 0)
			continue; /* the calling thread was interrupted */
		memset(&response, 0, sizeof response);
		response.id = call.id;
		response.error = -injected_error(call.data.nr);
		if (response.error == 0)
			response.flags = SECCOMP_USER_NOTIF_FLAG_CONTINUE;
		ioctl(notify_fd, SECCOMP_IOCTL_NOTIF_SEND, &response);
	}
	return NULL;
}

static void install_filter(void)
{
	struct sock_filter rules[] = {
		BPF_STMT(BPF_LD | BPF_W | BPF_ABS, offsetof(struct seccomp_data, arch)),
		BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, AUDIT_ARCH_X86_64, 0, 4),
		BPF_STMT(BPF_LD | BPF_W | BPF_ABS, offsetof(struct seccomp_data, nr)),
		BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, SYS_accept4, 3, 0),
		BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, SYS_connect, 2, 0),
		BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, SYS_socket, 1, 0),
		BPF_STMT(BPF_RET | BPF_K, SECCOMP_RET_ALLOW),
		BPF_STMT(BPF_RET | BPF_K, SECCOMP_RET_USER_NOTIF),
	};
	struct sock_fprog program = {.len = sizeof rules / sizeof rules[0], .filter = rules};
	pthread_t thread;
	sigset_t all, before;

	sigfillset(&all); /* the program's own threads handle signals */
	pthread_sigmask(SIG_SETMASK, &all, &before);
	if (pthread_create(&thread, NULL, handle_notifications, NULL) != 0)
		fatal("pthread_create");
	pthread_sigmask(SIG_SETMASK, &before, NULL);
	if (prctl(PR_SET_NO_NEW_PRIVS, 1, 0, 0, 0) != 0)
		fatal("prctl(PR_SET_NO_NEW_PRIVS)");
	int fd = syscall(SYS_seccomp, SECCOMP_SET_MODE_FILTER, SECCOMP_FILTER_FLAG_NEW_LISTENER, &program);
	if (fd < 0)
		fatal("seccomp");
	__atomic_store_n(&notify_fd, fd, __ATOMIC_RELEASE);
}

__attribute__((constructor)) static void init_hostfault(void)
{
	const char *path = getenv("HOSTFAULT_CONTROL");

	if (path == NULL)
		return;
	int fd = open(path, O_RDWR | O_CLOEXEC);
	if (fd < 0)
		fatal(path);
	control = mmap(NULL, sizeof *control, PROT_READ | PROT_WRITE, MAP_SHARED, fd, 0);
	if (control == MAP_FAILED)
		fatal("mmap");
	close(fd);
	replace_clock();
	if (getenv("HOSTFAULT_SOCKETS") != NULL)
		install_filter();
}
