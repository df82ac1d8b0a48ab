"""Loads YAML without custom types and without duplicate keys."""

from typing import Any, final

import yaml

__all__ = ('UniqueKeyLoader',)


@final
class UniqueKeyLoader(yaml.SafeLoader):
    """YAML loader that rejects duplicate keys, which PyYAML accepts."""

    def construct_mapping(
        self,
        node: yaml.MappingNode,
        deep: bool = False,
    ) -> dict[Any, Any]:
        """Build a mapping from a node.

        :raises yaml.MarkedYAMLError: if two of its keys are equal.
        """
        mapping = super().construct_mapping(node, deep=deep)
        if len(mapping) < len(node.value):
            raise yaml.MarkedYAMLError(
                problem='duplicate key in a mapping',
                problem_mark=node.start_mark,
            )
        return mapping
