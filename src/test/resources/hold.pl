# Stands in for a process supervisor: holds a listening socket and starts programs that inherit it as descriptor 0.
# Prints the socket's port first. For each input line "LOG<TAB>COMMAND<TAB>NAME=value..." it starts the shell command with
# these environment variables and its output in LOG.out and LOG.err, and prints the process id.
use strict;
use Socket;
use POSIX ();

$| = 1;
$SIG{CHLD} = 'IGNORE';
socket(my $held, PF_INET, SOCK_STREAM, 0) or die "socket: $!";
bind($held, sockaddr_in(0, INADDR_LOOPBACK)) or die "bind: $!";
listen($held, 1024) or die "listen: $!";
my ($port) = sockaddr_in(getsockname($held));
print "$port\n";
while (my $line = <STDIN>) {
    chomp $line;
    my ($log, $command, @variables) = split /\t/, $line;
    my $pid = fork();
    if ($pid == 0) {
        $SIG{CHLD} = 'DEFAULT';
        for (@variables) {
            my ($name, $value) = split /=/, $_, 2;
            $ENV{$name} = $value;
        }
        POSIX::dup2(fileno($held), 0);
        open(STDOUT, '>', "$log.out");
        open(STDERR, '>', "$log.err");
        exec '/bin/sh', '-c', $command;
    }
    print "$pid\n";
}
