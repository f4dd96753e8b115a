/*
 * System call faults for the fault soak, loaded into a process with LD_PRELOAD. A file that the soak shares with the
 * process (GARNETREEL_FAULT_CONTROL) sets the failure probability of each call and the offset of the wall clock;
 * without it the library changes nothing. Returns only errors that accept(2), socket(2), connect(2), epoll_wait(2),
 * read(2), write(2) and fsync(2) document, and only where the kernel may return them on its own. The monotonic clock is
 * not changed.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <stdint.h>
#include <stdlib.h>
#include <sys/epoll.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/time.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

enum fault { ACCEPT, SOCKET, CONNECT, SHORT_READ, SHORT_WRITE, INTERRUPT, RESET_ERROR, FILE_WRITE, FILE_SYNC, FAULT_COUNT };

/* Layout shared with ProcessFaults.java: little-endian, one page. */
struct control {
    int64_t wall_offset_nanos;
    uint32_t per_million[16];
    uint64_t fail_counts[16];
};

static volatile struct control *control;
static _Thread_local uint64_t random_state;

__attribute__((constructor)) static void map_control(void) {
    const char *path = getenv("GARNETREEL_FAULT_CONTROL");
    int fd = path == NULL ? -1 : open(path, O_RDWR | O_CLOEXEC);
    if (fd >= 0) {
        void *page = mmap(NULL, 4096, PROT_READ | PROT_WRITE, MAP_SHARED, fd, 0);
        control = page == MAP_FAILED ? NULL : page;
        close(fd);
    }
}

static uint64_t next_random(void) {
    if (random_state == 0) {
        random_state = (uint64_t)(uintptr_t)&random_state * 0x9E3779B97F4A7C15u | 1;
    }
    random_state ^= random_state << 13;
    random_state ^= random_state >> 7;
    random_state ^= random_state << 17;
    return random_state;
}

static int should_fail(enum fault fault) {
    if (control == NULL || control->per_million[fault] == 0 || next_random() % 1000000 >= control->per_million[fault]) {
        return 0;
    }
    __sync_fetch_and_add(&control->fail_counts[fault], 1);
    return 1;
}

static int pick(const int *errors, int count) {
    return errors[next_random() % count];
}

static int is_socket(int fd) {
    struct stat status;
    return fstat(fd, &status) == 0 && S_ISSOCK(status.st_mode);
}

static int is_file(int fd) {
    struct stat status;
    return fstat(fd, &status) == 0 && S_ISREG(status.st_mode);
}

#define NEXT_SYMBOL(name) ((__typeof__(&name))dlsym(RTLD_NEXT, #name))

int clock_gettime(clockid_t clock, struct timespec *now) {
    static int (*real)(clockid_t, struct timespec *);
    real = real ? real : NEXT_SYMBOL(clock_gettime);
    int result = real(clock, now);
    if (result == 0 && clock == CLOCK_REALTIME && control != NULL && control->wall_offset_nanos != 0) {
        int64_t nanos = now->tv_nsec + control->wall_offset_nanos % 1000000000;
        now->tv_sec += control->wall_offset_nanos / 1000000000;
        if (nanos < 0) {
            nanos += 1000000000;
            now->tv_sec--;
        } else if (nanos >= 1000000000) {
            nanos -= 1000000000;
            now->tv_sec++;
        }
        now->tv_nsec = nanos;
    }
    return result;
}

int gettimeofday(struct timeval *restrict now, void *restrict zone) {
    (void)zone;
    struct timespec time;
    int result = clock_gettime(CLOCK_REALTIME, &time);
    now->tv_sec = time.tv_sec;
    now->tv_usec = time.tv_nsec / 1000;
    return result;
}

static int accept_fails(void) {
    static const int errors[] = {ECONNABORTED, EINTR, ENFILE, ENOBUFS, ENOMEM, EMFILE};
    if (should_fail(ACCEPT)) {
        errno = pick(errors, 6);
        return 1;
    }
    return 0;
}

int accept(int fd, struct sockaddr *restrict peer, socklen_t *restrict length) {
    static int (*real)(int, struct sockaddr *, socklen_t *);
    real = real ? real : NEXT_SYMBOL(accept);
    return accept_fails() ? -1 : real(fd, peer, length);
}

int accept4(int fd, struct sockaddr *restrict peer, socklen_t *restrict length, int flags) {
    static int (*real)(int, struct sockaddr *, socklen_t *, int);
    real = real ? real : NEXT_SYMBOL(accept4);
    return accept_fails() ? -1 : real(fd, peer, length, flags);
}

int socket(int domain, int type, int protocol) {
    static int (*real)(int, int, int);
    static const int errors[] = {ENFILE, EMFILE, ENOBUFS, ENOMEM};
    real = real ? real : NEXT_SYMBOL(socket);
    if ((domain == AF_INET || domain == AF_INET6) && should_fail(SOCKET)) {
        errno = pick(errors, 4);
        return -1;
    }
    return real(domain, type, protocol);
}

int connect(int fd, const struct sockaddr *peer, socklen_t length) {
    static int (*real)(int, const struct sockaddr *, socklen_t);
    static const int errors[] = {EADDRNOTAVAIL, ENETUNREACH, EAGAIN, EINTR};
    real = real ? real : NEXT_SYMBOL(connect);
    if (peer->sa_family != AF_UNIX && should_fail(CONNECT)) {
        errno = pick(errors, 2); /* after EAGAIN and EINTR the call would have to continue */
        return -1;
    }
    return real(fd, peer, length);
}

int epoll_wait(int fd, struct epoll_event *events, int max_events, int timeout) {
    static int (*real)(int, struct epoll_event *, int, int);
    real = real ? real : NEXT_SYMBOL(epoll_wait);
    if (should_fail(INTERRUPT)) {
        errno = EINTR;
        return -1;
    }
    return real(fd, events, max_events, timeout);
}

static ssize_t vary_reset_error(ssize_t result) {
    static const int errors[] = {ETIMEDOUT, EHOSTUNREACH, ENETUNREACH};
    if (result < 0 && errno == ECONNRESET && should_fail(RESET_ERROR)) {
        errno = pick(errors, 3);
    }
    return result;
}

ssize_t read(int fd, void *buffer, size_t count) {
    static ssize_t (*real)(int, void *, size_t);
    real = real ? real : NEXT_SYMBOL(read);
    if (count > 1 && control != NULL && control->per_million[SHORT_READ] != 0 && is_socket(fd) && should_fail(SHORT_READ)) {
        count = 1 + next_random() % (count < 64 ? count : 64);
    }
    return vary_reset_error(real(fd, buffer, count));
}

static int file_call_fails(int fd, enum fault fault) {
    static const int errors[] = {ENOSPC, EIO};
    if (control != NULL && control->per_million[fault] != 0 && is_file(fd) && should_fail(fault)) {
        errno = pick(errors, 2);
        return 1;
    }
    return 0;
}

ssize_t write(int fd, const void *buffer, size_t count) {
    static ssize_t (*real)(int, const void *, size_t);
    real = real ? real : NEXT_SYMBOL(write);
    if (file_call_fails(fd, FILE_WRITE)) {
        return -1;
    }
    if (count > 1 && control != NULL && control->per_million[SHORT_WRITE] != 0 && is_socket(fd) && should_fail(SHORT_WRITE)) {
        count = 1 + next_random() % count;
    }
    return vary_reset_error(real(fd, buffer, count));
}

ssize_t writev(int fd, const struct iovec *buffers, int count) {
    static ssize_t (*real)(int, const struct iovec *, int);
    real = real ? real : NEXT_SYMBOL(writev);
    if (count > 1 && control != NULL && control->per_million[SHORT_WRITE] != 0 && is_socket(fd) && should_fail(SHORT_WRITE)) {
        count = 1 + next_random() % count;
    }
    return vary_reset_error(real(fd, buffers, count));
}

ssize_t pwrite(int fd, const void *buffer, size_t count, off_t offset) {
    static ssize_t (*real)(int, const void *, size_t, off_t);
    real = real ? real : NEXT_SYMBOL(pwrite);
    return file_call_fails(fd, FILE_WRITE) ? -1 : real(fd, buffer, count, offset);
}

ssize_t pwrite64(int fd, const void *buffer, size_t count, off64_t offset) {
    static ssize_t (*real)(int, const void *, size_t, off64_t);
    real = real ? real : NEXT_SYMBOL(pwrite64);
    return file_call_fails(fd, FILE_WRITE) ? -1 : real(fd, buffer, count, offset);
}

int fsync(int fd) {
    static int (*real)(int);
    real = real ? real : NEXT_SYMBOL(fsync);
    return file_call_fails(fd, FILE_SYNC) ? -1 : real(fd);
}

int fdatasync(int fd) {
    static int (*real)(int);
    real = real ? real : NEXT_SYMBOL(fdatasync);
    return file_call_fails(fd, FILE_SYNC) ? -1 : real(fd);
}
