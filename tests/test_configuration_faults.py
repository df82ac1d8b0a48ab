"""Any run of edits and faults ends, once healed, at the last valid edit."""

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
    WatchedFleet,
)
from tools.virtual.service import SERVICE

_SIZES = MappingProxyType({'plovdiv-a': 3, 'plovdiv-b': 3, 'burgas-c': 2})
_CENTRES = st.sampled_from(tuple(_SIZES))
_NUMBERS = st.integers(0, 7)


class ConfigurationMachine(RuleBasedStateMachine):
    """Edits and faults in any order; each step checks that none reverts."""

    fleet: WatchedFleet

    @initialize(seed=st.integers(0, 1000))
    def begin(self, seed):
        """Start a fleet that holds the first edit."""
        self.fleet = WatchedFleet(seed, _SIZES)
        self.fleet.reachable = False
        self.names = sorted(self.fleet.published)
        self.valid = self.fleet.floor
        self.incarnation = 1

    @rule(p99_ms=st.sampled_from((100, 200, -1)))
    def edit(self, p99_ms):
        """Publish a valid or an invalid contract."""
        revision = self.fleet.edit(p99_ms)
        self.valid = revision if p99_ms > 0 else self.valid

    @rule()
    def withdraw(self):
        """Withdraw the contract."""
        self.valid = self.fleet.withdraw()

    @rule(duration_ms=st.integers(10, 4000))
    def wait(self, duration_ms):
        """Let time pass."""
        self.fleet.run(duration_ms)

    @rule(mode=st.sampled_from((OK, DOWN, STALE)), place=_CENTRES)
    def treat(self, mode, place):
        """Change how the service treats a data centre."""
        self.fleet.service.treat(mode, place)

    @rule(place=_CENTRES, behind=st.integers(1, 3))
    def go_back(self, place, behind):
        """Show a data centre an older state."""
        service = self.fleet.service
        visible = max(0, service.replicas[place].revision - behind)
        service.treat(OLDER, place, visible=visible)

    @rule(places=st.sets(_CENTRES), service=st.booleans())
    def cut(self, places, service):
        """Cut data centres off, and heal other cuts."""
        self.fleet.cut_off(*places, service=service)

    @rule(number=_NUMBERS)
    def freeze(self, number):
        """Freeze a VM."""
        vm = self.fleet.vms[self.names[number]]
        if not vm.process.frozen:
            vm.process.freeze()

    @rule(number=_NUMBERS)
    def wake(self, number):
        """Wake a VM."""
        vm = self.fleet.vms[self.names[number]]
        vm.process.wake()

    @rule(number=_NUMBERS)
    def restart(self, number):
        """Replace a VM's process, those of others going on."""
        self.incarnation += 1
        self.fleet.start([self.names[number]], self.incarnation)
        self.fleet.run(100)

    @rule(number=_NUMBERS)
    def lose_service(self, number):
        """Cut one VM off from the service alone."""
        pair = frozenset((self.names[number], SERVICE))
        self.fleet.network.broken_pairs.add(pair)

    def teardown(self):
        """Heal everything and expect all to hold the last valid edit.

        One replaced by an invalid edit before anybody read it is lost: the
        service gives only the newest.
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
        if self.valid == fleet.service.replicas['burgas-c'].revision:
            assert fleet.revisions(KEY) == {self.valid}


ConfigurationMachine.TestCase.settings = settings(
    max_examples=20,
    stateful_step_count=15,
    deadline=None,
    derandomize=True,
    # A failing run is short enough to be read as it is.
    phases=(Phase.explicit, Phase.generate),
    suppress_health_check=list(HealthCheck),
)
TestConfigurationFaults = ConfigurationMachine.TestCase
