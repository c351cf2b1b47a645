"""Run operators' statements: one, a file of them, or a prompt."""

from __future__ import annotations

import json
import sys
from collections.abc import Callable, Iterable, Iterator
from pathlib import Path
from typing import Any

import click
from fielddrift_core.errors import ERROR_RESPONSES, ErrorKind
from prompt_toolkit import PromptSession
from prompt_toolkit.history import FileHistory
from tabulate import tabulate

from . import beliefs, held
from .client import Client, Outcome

__all__ = ["main"]

_HISTORY = "~/.fielddrift_history"
_FAILED = 1


@click.command()
@click.argument("statement", required=False)
@click.option("--node", "nodes", multiple=True, envvar="FIELDDRIFT_NODES", help="IP:PORT; repeat.")
@click.option("--key", envvar="FIELDDRIFT_KEY", help="The operator's key.")
@click.option("--file", type=click.Path(exists=True, dir_okay=False), help="Statements to run.")
@click.option("--json", "as_json", is_flag=True, help="Print JSON, a line a statement.")
@click.option("--wait", default=0.0, help="Seconds to wait until a change is in force.")
@click.option("--since", type=int, help="The revision that a change was decided on.")
@click.option(
    "--beliefs",
    "ask_beliefs",
    is_flag=True,
    help="Show what the nodes believe; --node then names metrics addresses, no key is needed.",
)
@click.option(
    "--held",
    "ask_held",
    is_flag=True,
    help="Show the requests that the nodes hold back; --node names metrics addresses.",
)
@click.option(
    "--lift",
    metavar="FINGERPRINT",
    help="Let a request go that is held back; --node names metrics addresses, one is enough.",
)
@click.version_option(package_name="fielddrift-cli")
def main(
    statement: str | None,
    nodes: tuple[str, ...],
    key: str | None,
    file: str | None,
    as_json: bool,
    wait: float,
    since: int | None,
    ask_beliefs: bool,
    ask_held: bool,
    lift: str | None,
) -> None:
    """Run STATEMENT, the statements of a file, or a prompt.

    The exit code tells the kind of the first failure.
    """
    if ask_beliefs or ask_held:
        _beliefs(nodes, as_json, show=held.table if ask_held else beliefs.tables)
        return
    if lift is not None:
        _lift(nodes, lift)
        return
    if not nodes or not key:
        raise click.UsageError("expected --node (or FIELDDRIFT_NODES) and --key (FIELDDRIFT_KEY)")
    client = Client(nodes=nodes, key=key)
    if statement is None and file is None:
        _prompt(client, as_json, wait)
        return
    statements = [statement] if statement is not None else list(_statements(str(file)))
    for each in statements:
        outcome = client.run(each, wait=wait, since=since)
        _print(outcome, as_json)
        if code := _exit_code(outcome, wait):
            sys.exit(code)


def _lift(nodes: tuple[str, ...], fingerprint: str) -> None:
    """Let a request go; exit with a failure when no node did."""
    _check_metrics(nodes)
    outcomes = [held.lift(node, fingerprint) for node in nodes]
    for outcome in outcomes:
        click.echo(f"{outcome.address}: {outcome.fault or 'let go'}", err=bool(outcome.fault))
    if all(outcome.fault for outcome in outcomes):
        sys.exit(ERROR_RESPONSES[ErrorKind.NOT_FOUND].exit_code)


def _check_metrics(nodes: tuple[str, ...]) -> None:
    if not nodes:
        raise click.UsageError("expected --node (or FIELDDRIFT_NODES): IP:PORT of its metrics")


def _beliefs(
    nodes: tuple[str, ...], as_json: bool, *, show: Callable[[Iterable[beliefs.Answer]], str]
) -> None:
    """Show what nodes believe; exit with a failure when one does not answer."""
    _check_metrics(nodes)
    answers = [beliefs.ask(node) for node in nodes]
    if as_json:
        for answer in answers:
            click.echo(json.dumps(answer._asdict(), sort_keys=True))
    else:
        click.echo(show(answers))
    faults = [answer for answer in answers if answer.beliefs is None]
    for answer in faults:
        click.echo(f"{answer.address}: {answer.fault}", err=True)
    if faults:
        sys.exit(ERROR_RESPONSES[ErrorKind.NO_TARGET].exit_code)


def _statements(file: str) -> Iterator[str]:
    """Yield the statements of a file: one a line, `#` begins a comment."""
    for line in Path(file).read_text().splitlines():
        statement = line.split("#", 1)[0].strip()
        if statement:
            yield statement


def _prompt(client: Client, as_json: bool, wait: float) -> None:
    session: PromptSession[str] = PromptSession(
        history=FileHistory(str(Path(_HISTORY).expanduser()))
    )
    while True:
        try:
            statement = session.prompt("fielddrift> ").strip()
        except (EOFError, KeyboardInterrupt):
            return
        if statement:
            _print(client.run(statement, wait=wait, since=None), as_json)


def _print(outcome: Outcome, as_json: bool) -> None:
    if as_json:
        click.echo(json.dumps(outcome.answer or outcome.problem, sort_keys=True))
    elif outcome.problem is not None:
        click.echo(_problem_text(outcome.problem), err=True)
    elif outcome.answer is not None and "columns" in outcome.answer:
        click.echo(tabulate(outcome.answer["rows"], headers=outcome.answer["columns"]))
        for missing in outcome.answer["partial"]:
            click.echo(f"not whole: {missing}", err=True)
    elif outcome.answer is not None:
        for name, value in outcome.answer.items():
            click.echo(f"{name}: {value}")


def _problem_text(problem: dict[str, Any]) -> str:
    text = f"{problem.get('title', 'failed')}: {problem.get('detail', '')}"
    if "retry_after" in problem:
        text += f" (again after {problem['retry_after']} s)"
    return text


def _exit_code(outcome: Outcome, wait: float) -> int:
    if outcome.problem is None:
        pending = wait and outcome.answer and outcome.answer.get("in_force") is False
        return _FAILED if pending else 0
    name = str(outcome.problem.get("type", "")).rsplit(":", 1)[-1]
    return ERROR_RESPONSES[ErrorKind(name)].exit_code if name in set(ErrorKind) else _FAILED


if __name__ == "__main__":
    main()
