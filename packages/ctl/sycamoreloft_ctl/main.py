"""Command line interface of sycamoreloftctl."""

import pathlib
import typing
import uuid

from returns import result
import typer

import sycamoreloft_config
from sycamoreloft_ctl import (
    _client,
    _files,
    _output,
    _problems,
    _request_explanation,
)

_EPILOG = """\
Exit codes: 0 done; 1 failed, nothing was recorded; 2 wrong options; 3 the
files have problems; 4 the base is not the newest generation; 5 recorded but
not accepted in time; 6 not known whether it was recorded; 7 wrong token.
"""

application = typer.Typer(
    help="Checks and submits configuration files, and shows what is in force.",
    epilog=_EPILOG,
    no_args_is_help=True,
    add_completion=False,
    rich_markup_mode=None,
    pretty_exceptions_enable=False,
)

Paths = typing.Annotated[
    list[pathlib.Path],
    typer.Argument(help="Fleet and merge files that take effect together."),
]
Admin = typing.Annotated[
    str,
    typer.Option(
        envvar="SYCAMORELOFTCTL_ADMIN",
        help="URL of the admin port of any host.",
    ),
]
Token = typing.Annotated[
    str,
    typer.Option(
        envvar="SYCAMORELOFTCTL_TOKEN",
        help="Bearer token; the variable keeps it out of the process list.",
    ),
]
Authorities = typing.Annotated[
    str,
    typer.Option(
        envvar="SYCAMORELOFTCTL_CA",
        help="File of the authorities of the admin port's certificate.",
    ),
]
AsJson = typing.Annotated[
    bool, typer.Option("--json", help="Print JSON instead of tables.")
]

#: Required fields of the admin port's answers, with their types.
_GENERATION_FIELDS = {
    "accepted": int,
    "files": dict,
    "pending": int,
    "differences": list,
    "waiting_domains": list,
}
_EXPLANATION_FIELDS = {
    "fleet": str,
    "service": str,
    "key": str,
    "partition": int,
    "group": str,
    "holder": str,
    "upstream": str,
    "reasons": list,
}

Outcome: typing.TypeAlias = result.Result[typing.Any, _problems.Problem]


def _unwrap(outcome: Outcome, as_json: bool) -> typing.Any:
    """Returns the value, or prints the problem and exits."""
    match outcome:
        case result.Failure(problem):
            _output.print_problem(problem, as_json=as_json)
            raise typer.Exit(int(problem.exit_code))
        case result.Success(value):
            return value
    raise AssertionError("a result is a success or a failure")


def _format_examples(*lines: str) -> str:
    """Returns the help text of a command's examples."""
    # A backspace makes the help formatter keep the line breaks.
    return "\n".join(
        ["\b", "Examples:", *(f"  sycamoreloftctl {line}" for line in lines)]
    )


@application.command(
    epilog=_format_examples(
        "check sledworks.toml",
        "check sledworks.toml isuku.toml merge.toml",
        "check --against-accepted merge.toml",
    )
)
def check(
    paths: Paths,
    against_accepted: typing.Annotated[
        bool,
        typer.Option(
            help="Check together with the accepted files of a host as well."
        ),
    ] = False,
    admin: Admin = "",
    token: Token = "",
    ca: Authorities = "",
    as_json: AsJson = False,
) -> None:
    """Check files without submitting them."""
    files = _unwrap(_files.load_files(paths), as_json)
    accepted: dict[str, str] = {}
    if against_accepted:
        target = _client.Target(admin, token, ca)
        view = _unwrap(
            _client.get_json(target, "/v1/generation", _GENERATION_FIELDS),
            as_json,
        )
        accepted = view["files"]
    generation = _unwrap(_files.check_together(files, accepted), as_json)
    if as_json:
        _output.print_json({"files": {file.path: file.name for file in files}})
        return
    _output.print_table(
        ("file", "content", "services", "upstreams"),
        [_describe_file(file, generation) for file in files],
    )
    _output.print_lines(["no problems"])


def _describe_file(
    file: _files.LocalFile, generation: sycamoreloft_config.Generation
) -> list[str]:
    fleet = generation.fleets.get(file.name.removeprefix("fleet/"))
    if fleet is None or file.name == "merge":
        merge = generation.merge
        return [
            file.path,
            file.name,
            f"{len(merge.same_services)} equated",
            f"{len(merge.same_upstreams)} equated",
        ]
    return [
        file.path,
        file.name,
        str(len(fleet.services)),
        str(len(fleet.upstreams)),
    ]


@application.command(
    epilog=_format_examples(
        "submit --base 0 sledworks.toml",
        "submit --base 7 isuku.toml merge.toml",
        "submit --base 7 --request 5f1c... isuku.toml merge.toml",
    )
)
def submit(
    paths: Paths,
    base: typing.Annotated[
        int,
        typer.Option(
            min=0,
            help="Newest generation that you have seen (`show` prints it); 0"
            " for the first submission.",
        ),
    ],
    wait: typing.Annotated[
        float,
        typer.Option(
            min=0, max=60, help="Seconds to wait until it is in force."
        ),
    ] = 7.0,
    request: typing.Annotated[
        str,
        typer.Option(help="Request id of an earlier, unanswered submission."),
    ] = "",
    admin: Admin = "",
    token: Token = "",
    ca: Authorities = "",
    as_json: AsJson = False,
) -> None:
    """Submit files; they take effect together, as a whole or not at all.

    Files that are not named stay as they are. If another operator was first,
    nothing is recorded and the command prints what changed.
    """
    files = _unwrap(_files.load_files(paths), as_json)
    submission = {
        "request": request or uuid.uuid4().hex,
        "base": base,
        "wait_s": wait,
        "files": {file.path: file.text for file in files},
    }
    target = _client.Target(admin, token, ca)
    answer = _unwrap(_client.post_submission(target, submission), as_json)
    _report_submission(answer, as_json)


def _report_submission(
    answer: typing.Mapping[str, typing.Any], as_json: bool
) -> None:
    """Prints the state of a submission; exits with a code unless accepted."""
    status, number = answer.get("status"), answer.get("number")
    waiting = answer.get("waiting_domains") or []
    if as_json:
        _output.print_json(answer)
    else:
        lines = {
            "accepted": [f"generation {number} is in force"],
            "pending": [
                f"generation {number} is recorded, but not in force yet",
                *(f"  waiting for {domain}" for domain in waiting),
                "look with `sycamoreloftctl show`; a failure domain that no"
                " longer runs can be declared lost",
            ],
            "replaced": [
                f"generation {number} was recorded, then replaced by a later"
                " submission that builds on it; look with `sycamoreloftctl"
                " show`"
            ],
        }
        _output.print_lines(
            lines.get(str(status), [f"nothing was recorded: {status}"])
        )
    if status in ("pending", "replaced"):
        raise typer.Exit(int(_problems.ExitCode.NOT_ACCEPTED))
    if status != "accepted":
        raise typer.Exit(int(_problems.ExitCode.FAILED))


@application.command(
    epilog=_format_examples(
        "show",
        "show --file fleet/isuku > isuku.toml",
    )
)
def show(
    file: typing.Annotated[
        str,
        typer.Option(
            help='Print one accepted file, such as "fleet/isuku" or "merge".'
        ),
    ] = "",
    admin: Admin = "",
    token: Token = "",
    ca: Authorities = "",
    as_json: AsJson = False,
) -> None:
    """Show the accepted and the pending generation."""
    target = _client.Target(admin, token, ca)
    view = _unwrap(
        _client.get_json(target, "/v1/generation", _GENERATION_FIELDS), as_json
    )
    if file:
        _show_file(view["files"], file, as_json)
        return
    if as_json:
        _output.print_json(view)
        return
    newest = view["pending"] or view["accepted"]
    _output.print_table(
        ("accepted", "pending", "base for the next submission"),
        [[view["accepted"], view["pending"] or "-", newest]],
    )
    _output.print_lines(["", "accepted files:"])
    _output.print_table(
        ("file", "bytes"),
        [
            [name, len(text.encode())]
            for name, text in sorted(view["files"].items())
        ],
    )
    if view["pending"]:
        _output.print_lines(["", "the pending generation changes:"])
        _output.print_lines(f"  {line}" for line in view["differences"])
        _output.print_lines(["", "it waits for:"])
        _output.print_lines(f"  {line}" for line in view["waiting_domains"])


def _show_file(
    files: typing.Mapping[str, str], name: str, as_json: bool
) -> None:
    if name not in files:
        problem = _problems.Problem(
            _problems.ExitCode.FAILED,
            "unknown-file",
            f"no accepted file is called {name!r}",
            f"name one of {', '.join(sorted(files)) or '(none)'}",
        )
        _unwrap(result.Failure(problem), as_json)
    if as_json:
        _output.print_json({"file": name, "text": files[name]})
    else:
        typer.echo(files[name], nl=False)


@application.command(
    epilog=_format_examples(
        "explain tally-board heat-7 --fleet sledworks",
        "explain mat-status mat-1041",
    )
)
def explain(
    service: typing.Annotated[str, typer.Argument(help="Name of a service.")],
    key: typing.Annotated[
        str, typer.Argument(help="Key, for a keyed service.")
    ] = "",
    fleet: typing.Annotated[
        str, typer.Option(help="Fleet of the service.")
    ] = "",
    admin: Admin = "",
    token: Token = "",
    ca: Authorities = "",
    as_json: AsJson = False,
) -> None:
    """Explain which upstream owns a key, and why."""
    arguments = {"fleet": fleet, "service": service, "key": key}
    explanation = _unwrap(
        _client.get_json(
            _client.Target(admin, token, ca),
            "/v1/explain",
            _EXPLANATION_FIELDS,
            arguments,
        ),
        as_json,
    )
    if as_json:
        _output.print_json(explanation)
        return
    columns = ("fleet", "service", "key", "partition", "group")
    _output.print_table(columns, [[explanation[name] for name in columns]])
    _output.print_table(
        ("holder", "upstream"),
        [[explanation["holder"] or "-", explanation["upstream"] or "-"]],
    )
    _output.print_lines(["", *explanation["reasons"]])


@application.command(
    epilog=_format_examples(
        "dump",
        "dump --json > state.json",
    )
)
def dump(
    admin: Admin = "",
    token: Token = "",
    ca: Authorities = "",
    as_json: AsJson = False,
) -> None:
    """Print the state of one host."""
    target = _client.Target(admin, token, ca)
    state = _unwrap(_client.get_json(target, "/v1/state", {}), as_json)
    if as_json:
        _output.print_json(state)
    else:
        _output.print_table(("state", "value"), _output.flatten(state))


@application.command(
    "explain-request",
    epilog=_format_examples(
        "explain-request 5bb33f7b0b5e entry-*.log",
        "explain-request --json 5bb33f7b0b5e entry-*.log",
    ),
)
def explain_request(
    request: typing.Annotated[
        str, typer.Argument(help="Identifier of the request.")
    ],
    paths: typing.Annotated[
        list[pathlib.Path],
        typer.Argument(help="Log files of all hosts that may have had it."),
    ],
    as_json: AsJson = False,
) -> None:
    """Explain from log files why a request failed.

    Lists the log lines of the request (*) and related ones near it in time,
    and names the cause. Exits with 1 if no line names the request.
    """
    diagnosis = _unwrap(_request_explanation.explain(request, paths), as_json)
    if as_json:
        _output.print_json(_request_explanation.convert_to_json(diagnosis))
    else:
        _request_explanation.print_diagnosis(diagnosis)
    if not diagnosis.request_lines:
        raise typer.Exit(int(_problems.ExitCode.FAILED))


def run() -> None:
    """Runs the command."""
    application()


if __name__ == "__main__":
    run()
