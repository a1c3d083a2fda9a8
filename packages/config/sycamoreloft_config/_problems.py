"""Problems of files and of names, with their remedies."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class FileProblem:
    """A problem in a file."""

    #: Name of the file in the generation, or path of a settings file.
    file_name: str
    #: Path inside the file, as "upstreams[3].address"; empty for the file.
    path: str
    #: What is wrong, as part of a sentence.
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
    """A name in a request that denotes no service, or several services."""

    #: "unknown-fleet", "unknown-service" or "ambiguous-service".
    reason: str
    #: What is wrong, as part of a sentence.
    problem: str
    #: What the caller or the operator can do about it.
    remedy: str

    def __str__(self) -> str:
        return f"{self.problem}; {self.remedy}"
