"""After any sequence of edits and faults the last valid edit wins."""

from types import MappingProxyType

from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    rule,
)

from tests.configuration_fleet import (
    DOWN,
    KEY,
    OK,
    OLDER,
    STALE,
    MonitoredFleet,
)
from tools.virtual.service import SERVICE

_SIZES = MappingProxyType({'plovdiv-a': 3, 'plovdiv-b': 3, 'burgas-c': 2})
_DATA_CENTRES = st.sampled_from(tuple(_SIZES))
_VM_INDEXES = st.integers(0, 7)


class ConfigurationMachine(RuleBasedStateMachine):
    """Edits and faults in any order; no revision may decrease."""

    fleet: MonitoredFleet

    @initialize(seed=st.integers(0, 1000))
    def begin(self, seed):
        """Start a fleet in which the first edit is in force."""
        self.fleet = MonitoredFleet(seed, _SIZES)
        self.fleet.can_reach_current = False
        self.names = sorted(self.fleet.published)
        self.last_valid = self.fleet.lowest_allowed
        self.incarnation = 1

    @rule(p99_ms=st.sampled_from((100, 200, -1)))
    def edit(self, p99_ms):
        """Publish a valid or an invalid contract."""
        revision = self.fleet.edit(p99_ms)
        self.last_valid = revision if p99_ms > 0 else self.last_valid

    @rule()
    def withdraw(self):
        """Withdraw the contract."""
        self.last_valid = self.fleet.withdraw()

    @rule(duration_ms=st.integers(10, 4000))
    def wait(self, duration_ms):
        """Advance the time."""
        self.fleet.run(duration_ms)

    @rule(mode=st.sampled_from((OK, DOWN, STALE)), data_centre=_DATA_CENTRES)
    def treat(self, mode, data_centre):
        """Change the fault mode of the service for a data centre."""
        self.fleet.service.treat(mode, data_centre)

    @rule(data_centre=_DATA_CENTRES, behind=st.integers(1, 3))
    def go_back(self, data_centre, behind):
        """Let the service show a data centre an older state."""
        service = self.fleet.service
        visible = max(0, service.replicas[data_centre].revision - behind)
        service.treat(OLDER, data_centre, visible=visible)

    @rule(data_centres=st.sets(_DATA_CENTRES), service=st.booleans())
    def cut(self, data_centres, service):
        """Cut off the given data centres and reconnect all others."""
        self.fleet.cut_off(*data_centres, service=service)

    @rule(number=_VM_INDEXES)
    def freeze(self, number):
        """Freeze a VM."""
        vm = self.fleet.vms[self.names[number]]
        if not vm.process.frozen:
            vm.process.freeze()

    @rule(number=_VM_INDEXES)
    def wake(self, number):
        """Wake a VM."""
        vm = self.fleet.vms[self.names[number]]
        vm.process.wake()

    @rule(number=_VM_INDEXES)
    def restart(self, number):
        """Restart the process of one VM."""
        self.incarnation += 1
        self.fleet.start([self.names[number]], self.incarnation)
        self.fleet.run(100)

    @rule(number=_VM_INDEXES)
    def lose_service(self, number):
        """Cut off one VM from the service only."""
        pair = frozenset((self.names[number], SERVICE))
        self.fleet.network.broken_pairs.add(pair)

    def teardown(self):
        """Clear all faults and expect all VMs to hold the last valid edit.

        A valid edit that was replaced by an invalid one before any VM read
        it is lost, because the service returns only the newest.
        """
        fleet = self.fleet
        fleet.network.broken_pairs.clear()
        fleet.cut_off()
        fleet.service.treat(OK)
        for vm in fleet.vms.values():
            vm.process.wake()
        fleet.run(5000)
        assert fleet.all_ready()
        assert len(fleet.revisions(KEY)) == 1
        if self.last_valid == fleet.service.replicas['burgas-c'].revision:
            assert fleet.revisions(KEY) == {self.last_valid}


ConfigurationMachine.TestCase.settings = settings(
    max_examples=20,
    stateful_step_count=15,
    deadline=None,
    derandomize=True,
    # A failing run is short enough to be read without shrinking.
    phases=(Phase.explicit, Phase.generate),
    suppress_health_check=list(HealthCheck),
)
TestConfigurationFaults = ConfigurationMachine.TestCase
