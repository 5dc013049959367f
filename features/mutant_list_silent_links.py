"""Deliberate defects of what is done about links and store connections in silence."""

from __future__ import annotations

from features.mutants import Mutant

__all__ = ["MUTANTS"]

CATCH_UP = "rosemarydeal/node/catch_up.py"
DELIVERY = "rosemarydeal/node/change_delivery.py"
SILENCE_CHECK = "rosemarydeal/node/silence_check.py"


def _scenario(feature: str, name: str) -> tuple[str, ...]:
    """Returns the check of one scenario."""
    return ("-m", "features.run", f"features/{feature}.feature", "--name", name)


MUTANTS = (
    Mutant(
        "an unconfirmed change not sent again",
        DELIVERY,
        "        if not missing:\n",
        "        if True:\n",
        _scenario("silent_links", "A configuration is in force within a second"),
    ),
    Mutant(
        "a lacking change not asked of who told",
        CATCH_UP,
        "                source.send(FetchObjects(kind))\n",
        "",
        _scenario("silent_links", "A process asks over the connection"),
    ),
    Mutant(
        "a lacking change not asked of the store",
        CATCH_UP,
        "                    await self._read_listing(kind)\n",
        "",
        _scenario("silent_links", "A process asks the store"),
    ),
    Mutant(
        "a change asked for that a listing contains",
        "rosemarydeal/node/records.py",
        "        return revision > kind_state.last_change and not contained\n",
        "        return revision > kind_state.last_change\n",
        _scenario("silent_links", "A process that started after a zone came back"),
    ),
    Mutant(
        "no link checked for waiting requests",
        SILENCE_CHECK,
        "            self._probe_waiting()\n",
        "",
        _scenario("silent_links", "Orders that are sent as links fall silent"),
    ),
    Mutant(
        "a link closed whose peer answers nowhere",
        SILENCE_CHECK,
        "answers = await self._answers_anew(probe.link)",
        "answers = await self._answers_anew(probe.link) or True",
        _scenario("monitors", "A peer that answers nothing on any connection"),
    ),
    Mutant(
        "an answer to a watch awaited for too long",
        "rosemarydeal/node/store_watch.py",
        "CHECKED_WATCH_SLACK_S = 0.4",
        "CHECKED_WATCH_SLACK_S = 1.4",
        _scenario("store_silent", "Connections to the store fall silent just after"),
    ),
    Mutant(
        "a slow store taken for silent connections",
        "rosemarydeal/platform/store.py",
        "after_silence = now() - asked_at < self._settings.fast_answer_s",
        "after_silence = True",
        _scenario("store_silent", "A store that is slow is not taken"),
    ),
)
