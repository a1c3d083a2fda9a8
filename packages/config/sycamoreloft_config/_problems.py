"""Typed errors of files and names."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class FileProblem:
    """One thing that is wrong in a file."""

    #: Name of the file.
    file_name: str
    #: Place inside the file, as "upstreams[3].address"; empty for the file.
    path: str
    #: What is wrong.
    problem: str
    #: What the operator can do about it.
    remedy: str

    def __str__(self) -> str:
        place = (
            f"{self.file_name}: {self.path}" if self.path else self.file_name
        )
        return f"{place}: {self.problem}; {self.remedy}"


@dataclasses.dataclass(frozen=True, slots=True)
class NameProblem:
    """A name of a request that denotes no service, or several."""

    #: "unknown-fleet", "unknown-service" or "ambiguous-service".
    reason: str
    #: What is wrong.
    problem: str
    #: What the caller or the operator can do about it.
    remedy: str

    def __str__(self) -> str:
        return f"{self.problem}; {self.remedy}"
