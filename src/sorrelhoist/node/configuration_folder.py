"""Load the configuration documents of a folder."""

from pathlib import Path

from returns.result import Failure, Result

from ..decisions.configuration_parsing import SourceText, parse_texts
from ..decisions.configuration_problems import (
    DocumentLocation,
    Problem,
    Problems,
    UnreadableText,
)
from ..decisions.configuration_set import Configuration
from ..exceptions import DocumentError

YAML_SUFFIXES = (".yaml", ".yml")


def load_folder(path: Path) -> Result[Configuration, Problems]:
    """Read and validate all documents of a folder and its subfolders.

    Parameters
    ----------
    path : Path
        The folder; files that do not end in ``.yaml`` or ``.yml`` are ignored.

    Returns
    -------
    Result
        The configuration, or all problems of all files.

    Raises
    ------
    DocumentError
        If the folder does not exist.
    """
    if not path.is_dir():
        raise DocumentError(
            f"There is no folder {path}.", "Give the folder that holds the documents."
        )
    sources: list[SourceText] = []
    problems: list[Problem] = []
    for file in sorted(path.rglob("*")):
        if file.suffix not in YAML_SUFFIXES or not file.is_file():
            continue
        name = str(file.relative_to(path))
        try:
            sources.append(SourceText(name, file.read_text(encoding="utf-8")))
        except (OSError, UnicodeDecodeError) as error:
            problems.append(UnreadableText(DocumentLocation(name), f"{error}."))
    result = parse_texts(sources)
    if not problems:
        return result
    if isinstance(result, Failure):
        problems.extend(result.failure().items)
    return Failure(Problems.of(problems))
