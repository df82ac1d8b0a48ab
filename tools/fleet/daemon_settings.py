"""Writes the settings of each daemon of a scenario."""

from dandelionstage.model.ids import DataCentreId, VmId
from dandelionstage.settings.model import (
    ConfigServiceAddress,
    SeedPeer,
    Settings,
)

from .layout import Layout, VmPlace
from .ports import LOOPBACK

__all__ = ('daemon_settings',)


def daemon_settings(layout: Layout, own: VmPlace) -> Settings:
    """Write the settings of one daemon, its data centre first."""
    others = dict.fromkeys(vm.data_centre for vm in layout.vms)
    others.pop(own.data_centre)
    service = ConfigServiceAddress(host=LOOPBACK, port=layout.config_port)
    return Settings(
        vm=VmId(own.vm),
        data_centre=DataCentreId(own.data_centre),
        host=LOOPBACK,
        caller_port=own.caller_port,
        inner_port=own.inner_port,
        operator_port=own.operator_port,
        config_service=service,
        seed_peers=tuple(_peer(vm) for vm in layout.vms if vm is not own),
        data_centre_order=tuple(
            DataCentreId(name) for name in (own.data_centre, *others)
        ),
    )


def _peer(vm: VmPlace) -> SeedPeer:
    return SeedPeer(
        vm=VmId(vm.vm),
        data_centre=DataCentreId(vm.data_centre),
        host=LOOPBACK,
        inner_port=vm.inner_port,
    )
