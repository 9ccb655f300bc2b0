"""``cactusmill``: the command-line tool for operators."""

import argparse
import sys

from .internal.commands import burn, check, explain, held, status, story

EXIT_FAULT = 1


def _parser():
    parser = argparse.ArgumentParser(
        prog="cactusmill",
        description="Check settings and records, and show the state of the fleet. "
        "Exit codes: 0 no fault, 1 a fault was found, 2 invalid usage, "
        "3 no host answered.",
    )
    commands = parser.add_subparsers(dest="command", required=True, metavar="COMMAND")
    check_ = commands.add_parser(
        "check",
        help="check settings and records before they are used",
        description="Report each fault in settings and record files: where it is "
        "and how to fix it.",
    )
    check_.add_argument("--settings", nargs="*", default=[], metavar="FILE.yaml")
    check_.add_argument("--records", nargs="*", default=[], metavar="FILE.yaml")
    check_.set_defaults(run=check.run)
    status_ = _add_query_command(
        commands,
        "status",
        "show versions in force, teams' tokens, endpoints and leaving hosts",
        status.run,
    )
    status_.set_defaults(fleet=True)
    burn_ = _add_query_command(
        commands,
        "burn",
        "show the burn rates of teams' error budgets",
        burn.run,
    )
    burn_.add_argument(
        "--max-rate",
        type=float,
        default=14.4,
        help="burn rate that counts as a fault when both windows exceed it "
        "(default: %(default)s, a 30-day budget gone within 50 hours)",
    )
    explain_ = _add_query_command(
        commands, "explain", "show where a request would be sent, and why", explain.run
    )
    explain_.add_argument("--team", default="", help="team that sends the request")
    explain_.add_argument("--path", required=True, help="path of the request")
    explain_.add_argument("--model", default="", help="model name, for model routes")
    _add_query_command(
        commands,
        "held",
        "show requests and prompt parts that are refused because they crash endpoints",
        held.run,
    )
    release_ = _add_query_command(
        commands,
        "release",
        "serve again what is refused, once the endpoints are mended",
        held.run_release,
    )
    release_.add_argument(
        "--digest", required=True, help="as the command 'held' and the logs write it"
    )
    story_ = commands.add_parser(
        "story",
        help="show the log lines of one request",
        description="Print the log lines of one request in order of time, and the "
        "events around it. Pass the logs of all hosts; small clock differences are "
        "allowed for.",
    )
    story_.add_argument("--request", required=True, metavar="ID")
    story_.add_argument(
        "logs", nargs="*", metavar="LOG", help="log files (default: standard input)"
    )
    story_.set_defaults(run=story.run)
    return parser


def _add_query_command(commands, name, help_, run):
    parser = commands.add_parser(name, help=help_, description=help_.capitalize() + ".")
    parser.add_argument(
        "--host",
        required=True,
        metavar="IP:PORT",
        help="operators' address of any host, which lists the other hosts",
    )
    parser.add_argument("--json", action="store_true", help="print JSON")
    parser.set_defaults(run=run)
    return parser


def main(argv=None):
    """Run the tool; return its exit code."""
    args = _parser().parse_args(argv)
    return args.run(args)


if __name__ == "__main__":
    sys.exit(main())
