"""Checks across fields and entries, made after all files are merged."""

from __future__ import annotations

from collections.abc import Iterator

from cyclamendale.intents import _drafts
from cyclamendale.intents import errors
from cyclamendale.intents import kinds
from cyclamendale.intents import model


def check(drafts: _drafts.Drafts) -> Iterator[errors.IntentError]:
    """Yields dangling references, duplicate prefixes and contradictions.

    Args:
        drafts: All drafts by kind and name, merged from all files.
    """
    yield from _find_dangling_names(drafts)
    yield from _find_duplicate_prefixes(drafts)
    yield from _find_contradictions(drafts)


def _make_error(
    draft: _drafts.Draft, field: str, problem: errors.Problem, allowed: str
) -> errors.IntentError:
    decided = draft.fields[field]
    return errors.IntentError(
        decided.file,
        problem,
        line=decided.line,
        field=field,
        value=errors.shorten(kinds.to_file_value(decided.value)),
        allowed=allowed,
    )


def _find_dangling_names(
    drafts: _drafts.Drafts,
) -> Iterator[errors.IntentError]:
    references = (
        (kinds.Kind.ROUTE, "service", kinds.Kind.SERVICE),
        (kinds.Kind.KEY, "customer", kinds.Kind.CUSTOMER),
    )
    for kind, field, target in references:
        defined = drafts[target]
        for draft in drafts[kind].values():
            decided = draft.fields.get(field)
            if decided is None or decided.value in defined:
                continue
            if not draft.is_withdrawn_key():
                yield _make_error(
                    draft, field, errors.Problem.NAME_DANGLING, target.value
                )


def _find_duplicate_prefixes(
    drafts: _drafts.Drafts,
) -> Iterator[errors.IntentError]:
    by_prefix: dict[str, list[_drafts.Draft]] = {}
    with_prefix = [
        draft
        for draft in drafts[kinds.Kind.ROUTE].values()
        if "path_prefix" in draft.fields
    ]
    # Sorted so that the error is reported for the later file.
    with_prefix.sort(key=lambda draft: draft.fields["path_prefix"].file)
    for draft in with_prefix:
        same_prefix = by_prefix.setdefault(
            draft.fields["path_prefix"].value, []
        )
        for other in same_prefix:
            if _methods_overlap(draft, other):
                yield _make_error(
                    draft,
                    "path_prefix",
                    errors.Problem.PREFIX_DUPLICATE,
                    f"route {other.name} in {other.last_file}",
                )
                break
        same_prefix.append(draft)


def _methods_overlap(one: _drafts.Draft, other: _drafts.Draft) -> bool:
    ours, theirs = one.get_value("methods"), other.get_value("methods")
    return not ours or not theirs or bool(set(ours) & set(theirs))


def _find_contradictions(
    drafts: _drafts.Drafts,
) -> Iterator[errors.IntentError]:
    for draft in drafts[kinds.Kind.ROUTE].values():
        if "idempotent" in draft.invalid_fields:
            continue
        idempotent = draft.get_value("idempotent")
        if draft.get_value("hedge") and not idempotent:
            yield _make_error(
                draft,
                "hedge",
                errors.Problem.CONTRADICTION,
                "idempotent = true",
            )
        if draft.get_value("once") is model.Once.TABLE and idempotent:
            yield _make_error(
                draft,
                "once",
                errors.Problem.CONTRADICTION,
                "idempotent = false",
            )
