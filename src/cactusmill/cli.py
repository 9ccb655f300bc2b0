"""``cactusmill``: the operators' tool."""

import argparse
import sys

from .internal.commands import burn, check, explain, status, story

EXIT_FAULT = 1


def _parser():
    parser = argparse.ArgumentParser(
        prog="cactusmill",
        description="Check settings and records, and see what the fleet reports. "
        "Exit codes: 0 all is well, 1 a fault was found, 2 wrong use, "
        "3 no host answered.",
    )
    commands = parser.add_subparsers(dest="command", required=True, metavar="COMMAND")
    check_ = commands.add_parser(
        "check",
        help="check settings and records before they are used",
        description="Name the place and the mend of each fault in settings files "
        "and files of records.",
    )
    check_.add_argument("--settings", nargs="*", default=[], metavar="FILE.yaml")
    check_.add_argument("--records", nargs="*", default=[], metavar="FILE.yaml")
    check_.set_defaults(run=check.run)
    status_ = _asking(
        commands,
        "status",
        "show versions in force, teams' tokens, endpoints and leaving hosts",
        status.run,
    )
    status_.set_defaults(fleet=True)
    burn_ = _asking(
        commands,
        "burn",
        "show how fast teams' error budgets are used up",
        burn.run,
    )
    burn_.add_argument(
        "--max-rate",
        type=float,
        default=14.4,
        help="burn rate that counts as a fault when both windows exceed it "
        "(default: %(default)s, a 30-day budget gone within 50 hours)",
    )
    explain_ = _asking(
        commands, "explain", "tell where a request would go, and why", explain.run
    )
    explain_.add_argument("--team", default="", help="the team that asks")
    explain_.add_argument("--path", required=True, help="path of the request")
    explain_.add_argument("--model", default="", help="model, on model routes")
    story_ = commands.add_parser(
        "story",
        help="tell from logs what became of a request",
        description="Print the log lines of one request in order, and what "
        "changed around it. Give the logs of all hosts; clocks may differ a little.",
    )
    story_.add_argument("--request", required=True, metavar="ID")
    story_.add_argument(
        "logs", nargs="*", metavar="LOG", help="log files; standard input if none"
    )
    story_.set_defaults(run=story.run)
    return parser


def _asking(commands, name, help_, run):
    parser = commands.add_parser(name, help=help_, description=help_.capitalize() + ".")
    parser.add_argument(
        "--host",
        required=True,
        metavar="IP:PORT",
        help="operators' address of any host; the others are found through it",
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
