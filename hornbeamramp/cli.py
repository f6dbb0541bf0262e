"""Command line interface. Each command maps to calls of the library."""

import asyncio
import json
import sys
from pathlib import Path
from typing import Annotated, Any, Literal, NoReturn

import msgspec
import uvloop
from cyclopts import App, Parameter
from result import Err, Result
from rich.console import Console

from hornbeamramp import __version__
from hornbeamramp.admin_client import AdminClient, AdminProblem
from hornbeamramp.ids import JobId
from hornbeamramp.settings import load_settings
from hornbeamramp.status_view import print_rows, print_status

__all__ = ["main"]

EXIT_REFUSED = 1
EXIT_USAGE = 2

app = App(name="hornbeamramp", version=__version__, help="Cluster scheduler.")
route_app = App(name="route", help="Read and write the routes table.")
pool_app = App(name="pool", help="Read and write the pools table.")
app.command(route_app)
app.command(pool_app)
app.register_install_completion_command()


class AdminEndpoint(msgspec.Struct, frozen=True):
    """Base URL of the admin API, file with the bearer token, and file with CA certificates."""

    admin: str
    token_file: Path
    ca_file: Path | None

    def client(self) -> AdminClient:
        try:
            token = self.token_file.read_text().strip()
        except OSError as error:
            _exit_with_error(
                f"{self.token_file}: can't read the file: {error.strerror}", EXIT_USAGE
            )
        return AdminClient(self.admin, token, self.ca_file)


AdminUrl = Annotated[
    str, Parameter(env_var="HORNBEAMRAMP_ADMIN", help="Base URL of the admin API.")
]
TokenFile = Annotated[
    Path, Parameter(env_var="HORNBEAMRAMP_TOKEN_FILE", help="File with the bearer token.")
]
CaFile = Annotated[
    Path | None,
    Parameter(
        env_var="HORNBEAMRAMP_CA_FILE", help="File with the CA certificates to trust for https."
    ),
]
Json = Annotated[bool, Parameter(name="--json", help="Print JSON.", negative="")]


@app.command
def serve(*, config: Path) -> None:
    """Run an entry process until SIGTERM or SIGINT."""
    from hornbeamramp.checks import check_key_files
    from hornbeamramp.entry import serve as run_entry

    settings = load_settings(config)
    if isinstance(settings, Err):
        _exit_with_error(f"{settings.err_value.file}: {settings.err_value.message}", EXIT_USAGE)
    files = check_key_files(settings.ok_value)
    if isinstance(files, Err):
        _exit_with_error(f"{config}: {files.err_value}", EXIT_USAGE)
    uvloop.run(run_entry(settings.ok_value))


@app.command
def check(file: Path) -> None:
    """Check a settings file, or a JSON or YAML file with tables, without starting a process."""
    from hornbeamramp.checks import check_file

    result = check_file(file)
    if isinstance(result, Err):
        _exit_with_error(f"{file}: {result.err_value}", EXIT_REFUSED)
    print(f"{file}: {result.ok_value}")


@app.command
def demo(*, verbose: bool = False) -> None:
    """Start a demo cell on loopback, with stand-in upstreams, and submit jobs of every kind."""
    from hornbeamramp.demo import run_demo

    sys.exit(asyncio.run(run_demo(verbose)))


@app.command
def status(
    *, admin: AdminUrl, token_file: TokenFile, ca_file: CaFile = None, as_json: Json = False
) -> None:
    """Show data centres, shards, revisions, queues and upstreams that are set aside."""
    document = _call_admin_api(AdminEndpoint(admin, token_file, ca_file).client().status())
    if as_json:
        _print_json(document)
    else:
        print_status(document, Console())


@app.command
def explain(job_id: str, *files: Path) -> None:
    """Print the history of one job from the log files of several VMs."""
    from hornbeamramp.explain import explain_job

    try:
        lines = explain_job(JobId(job_id), files)
    except OSError as error:
        _exit_with_error(f"{error.filename}: {error.strerror}", EXIT_USAGE)
    if not lines:
        _exit_with_error(f"no log line contains {job_id}", EXIT_REFUSED)
    for line in lines:
        elapsed_s = (line.time - lines[0].time).total_seconds()
        print(f"{elapsed_s:9.3f} s  {line.vm}  {line.part}  {line.message}")


@app.command
def report(
    *files: Path,
    plot: Path | None = None,
    unfinished: Annotated[bool, Parameter(negative="")] = False,
    overlaps: Annotated[bool, Parameter(negative="")] = False,
) -> None:
    """Print why jobs were late, failed or refused, from the log files of all VMs.

    Parameters
    ----------
    plot
        PNG file for a picture of the day; needs the optional dependency ``plot``.
    unfinished
        List accepted jobs without an end, tasks that did not start again, and requests without an
        answer instead.
    overlaps
        List tasks of which two runs may have run at the same time, and why the first of them was
        given up, instead.
    """
    from hornbeamramp.overlaps import print_overlaps, read_overlaps
    from hornbeamramp.report import print_report, read_day, write_plot
    from hornbeamramp.unfinished import print_unfinished, read_unfinished

    try:
        if unfinished:
            print_unfinished(read_unfinished(files), Console())
        if overlaps:
            print_overlaps(read_overlaps(files), Console())
        if unfinished or overlaps:
            return
        day = read_day(files)
        print_report(day, Console())
        if plot is not None:
            write_plot(day, plot)
    except ImportError as error:
        _exit_with_error(f"--plot needs {error.name}: install hornbeamramp[plot]", EXIT_USAGE)
    except OSError as error:
        _exit_with_error(f"{error.filename}: {error.strerror}", EXIT_USAGE)


@app.command(show=False)
def docs(page: Literal["configuration"], *, check: bool = False) -> None:
    """Write docs/configuration.md from the settings model, or check that it is up to date."""
    from hornbeamramp.settings_docs import configuration_page

    file = Path("docs") / f"{page}.md"
    text = configuration_page()
    if not check:
        file.write_text(text)
    elif not file.exists() or file.read_text() != text:
        _exit_with_error(f"{file} is not up to date; run: hornbeamramp docs {page}", EXIT_REFUSED)


def _add_table_commands(table_app: App, table: str) -> None:
    @table_app.command(name="list")
    def list_rows(
        *, admin: AdminUrl, token_file: TokenFile, ca_file: CaFile = None, as_json: Json = False
    ) -> None:
        """List all rows."""
        document = _call_admin_api(
            AdminEndpoint(admin, token_file, ca_file).client().list_rows(table)
        )
        if as_json:
            _print_json(document)
        else:
            print_rows(document[table], Console())

    @table_app.command(name="get")
    def get_row(
        name: str, *, admin: AdminUrl, token_file: TokenFile, ca_file: CaFile = None
    ) -> None:
        """Print one row as JSON."""
        _print_json(
            _call_admin_api(AdminEndpoint(admin, token_file, ca_file).client().get_row(table, name))
        )

    @table_app.command(name="set")
    def set_row(
        name: str,
        file: Path,
        *,
        admin: AdminUrl,
        token_file: TokenFile,
        ca_file: CaFile = None,
        version: int | None = None,
    ) -> None:
        """Write a row from a JSON or YAML file. Without --version, create a new row."""
        row = msgspec.yaml.decode(file.read_bytes(), type=dict[str, Any])
        client = AdminEndpoint(admin, token_file, ca_file).client()
        _print_json(_call_admin_api(client.put_row(table, name, row, version)))

    @table_app.command(name="delete")
    def delete_row(
        name: str, *, version: int, admin: AdminUrl, token_file: TokenFile, ca_file: CaFile = None
    ) -> None:
        """Delete a row if it has the given version."""
        _print_json(
            _call_admin_api(
                AdminEndpoint(admin, token_file, ca_file).client().delete_row(table, name, version)
            )
        )


_add_table_commands(route_app, "routes")
_add_table_commands(pool_app, "pools")


def main() -> None:
    """Runs the command line."""
    app()


def _call_admin_api(api_call: Any) -> dict[str, Any]:
    result: Result[dict[str, Any], AdminProblem] = asyncio.run(api_call)
    if isinstance(result, Err):
        problem = result.err_value
        if problem.body:
            print(json.dumps(problem.body, indent=2))
        _exit_with_error(problem.detail, EXIT_REFUSED)
    return result.unwrap()


def _print_json(document: Any) -> None:
    print(json.dumps(document, indent=2))


def _exit_with_error(message: str, exit_code: int) -> NoReturn:
    print(f"hornbeamramp: {message}", file=sys.stderr)
    sys.exit(exit_code)
