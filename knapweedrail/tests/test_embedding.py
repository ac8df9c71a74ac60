"""The embedding example does what its page says."""

import pathlib

from ..examples import embedding

PAGE = pathlib.Path(__file__).parents[2] / "docs" / "EMBEDDING.md"


def test_the_example_prints_what_its_page_shows(capsys):
    assert embedding.main() == 0
    for line in capsys.readouterr().out.splitlines():
        assert line in PAGE.read_text()
