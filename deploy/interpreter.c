/* The interpreter, with signals taken care of from its first statement on. */

#include <dlfcn.h>
#include <signal.h>
#include <stdio.h>
#include <unistd.h>

typedef int (*Main)(int argc, char **argv);

/* Ends the process without a failure: it has accepted nothing yet. */
static void leave(int number) {
  (void)number;
  _exit(0);
}

#ifdef LIBRARY

static int run(int argc, char **argv) {
  /* Loaded only now, as that takes longer than all before it. */
  void *library = dlopen(LIBRARY, RTLD_NOW | RTLD_GLOBAL);
  Main run = library ? (Main)dlsym(library, "Py_BytesMain") : 0;
  if (run) {
    return run(argc, argv);
  }
  /* The build was moved to a machine with another interpreter. */
  execvp("python3", argv);
  perror("python3");
  return 127;
}

#else

int Py_BytesMain(int argc, char **argv);

static int run(int argc, char **argv) { return Py_BytesMain(argc, argv); }

#endif

int main(int argc, char **argv) {
  signal(SIGHUP, SIG_IGN);
  signal(SIGTERM, leave);
  signal(SIGINT, leave);
  return run(argc, argv);
}
