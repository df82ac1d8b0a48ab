"""A daemon that holds no documents yet knows whom to ask."""

import random

from dandelionstage.configuration.store import DocumentStore
from dandelionstage.daemon.facts import Facts
from dandelionstage.daemon.peer_view import view_peers
from dandelionstage.membership.members import Members
from dandelionstage.membership.messages import Identity
from dandelionstage.model.documents import Document
from dandelionstage.model.ids import (
    DataCentreId,
    DocumentKey,
    Incarnation,
    Revision,
    VmId,
)
from dandelionstage.settings.model import Settings
from tools.virtual.documents import contract_json, list_vms, vms_json

_SETTINGS = Settings.model_validate(
    {
        'vm': 'zdar-0',
        'data_centre': 'zdar',
        'host': '127.0.0.1',
        'config_service': {'host': '127.0.0.1', 'port': 8500},
        'seed_peers': [
            {
                'vm': 'zdar-9',
                'data_centre': 'zdar',
                'host': '127.0.0.9',
                'inner_port': 7409,
            },
        ],
    },
)
_IDENTITY = Identity(VmId('zdar-0'), Incarnation(1), DataCentreId('zdar'))


def test_seeds_stand_in_until_a_list_is_published():
    store = DocumentStore()
    members = Members(_IDENTITY, store.digest, random.Random(0))
    facts = Facts(_SETTINGS, store, members)
    peers = view_peers(members, _IDENTITY)
    assert peers.same_data_centre() == ('zdar-9',)
    assert facts.address_of(VmId('zdar-9')) == ('127.0.0.9', 7409)
    key = DocumentKey('contract/finders')
    store.offer(Document(key, Revision(1), contract_json('finders')))
    facts.refresh()
    assert peers.same_data_centre() == ('zdar-9',)
    listed = vms_json(list_vms({'zdar': 2}), DataCentreId('zdar'))
    store.offer(Document(DocumentKey('vms/zdar'), Revision(2), listed))
    facts.refresh()
    assert peers.same_data_centre() == ('zdar-1',)
