"""Load YAML strictly: plain values only, and each key once."""

from typing import Any, final

import yaml

__all__ = ('UniqueKeyLoader',)


@final
class UniqueKeyLoader(yaml.SafeLoader):
    """Refuses a key given twice, which YAML itself lets pass."""

    def construct_mapping(
        self,
        node: yaml.MappingNode,
        deep: bool = False,
    ) -> dict[Any, Any]:
        """Build a mapping, or raise a fault if two of its keys are equal."""
        mapping = super().construct_mapping(node, deep=deep)
        if len(mapping) < len(node.value):
            raise yaml.MarkedYAMLError(
                problem='a key is given twice',
                problem_mark=node.start_mark,
            )
        return mapping
