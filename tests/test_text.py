"""Tests of the validation and comparison of texts."""

from pathlib import Path
from unittest import TestCase

from msgspec.json import decode, encode

from bronzekeel.text.checks import build_catalogue, check_change, parse_text
from bronzekeel.text.differences import differences
from bronzekeel.text.faults import FaultKind, TextError

_EXAMPLES = Path(__file__).parent.parent / 'examples'


def faults_of(body: bytes) -> dict[FaultKind, str]:
    """Return the places of the faults in `body` by kind."""
    try:
        parse_text(body)
    except TextError as error:
        return {found.kind: found.place for found in error.faults}
    return {}


def service(**changed: object) -> dict[str, object]:
    """Return a valid service with the keys in `changed` replaced."""
    valid: dict[str, object] = {
        'kind': 'flow',
        'address': '198.51.100.1',
        'port': 443,
        'upstreams': {'dc-a': [{'address': '192.0.2.1:1'}]},
    }
    valid.update(changed)
    return valid


class CheckTest(TestCase):
    """Tests of invalid texts."""

    def test_all_faults_are_reported_at_once(self) -> None:
        """Services with different faults are all reported."""
        body = encode(
            {
                'services': {
                    'a': service(),
                    'b': service(),
                    'c': service(port=70000),
                    'd': service(address='nowhere', port=1, upstreams={}, depends_on=['e']),
                    'e': service(
                        port=2, upstreams={'x': [{'address': '192.0.2.9'}]}, depends_on=['d']
                    ),
                    'f': service(
                        port=3,
                        buckets=100,
                        depends_on=['ghost'],
                        upstreams={
                            'x': [{'address': '192.0.2.10:1'}],
                        },
                    ),
                },
                'extra': 1,
            }
        )
        found = faults_of(body)
        self.assertEqual('$.services.b.address', found[FaultKind.ADDRESS_TAKEN])
        self.assertEqual('$.services.b.upstreams.dc-a[0]', found[FaultKind.UPSTREAM_SHARED])
        self.assertEqual('$.services.f.depends_on[0]', found[FaultKind.UNKNOWN_NAME])
        self.assertEqual('$.services.d.depends_on', found[FaultKind.CYCLE])
        self.assertEqual('$.services.d.upstreams', found[FaultKind.EMPTY])
        self.assertEqual('$.services.f.buckets', found[FaultKind.BUCKETS])
        self.assertIn(FaultKind.SHAPE, found)
        self.assertIn(FaultKind.ADDRESS, found)

    def test_invalid_documents_are_refused(self) -> None:
        """Invalid JSON, a non-object and a text without services each have a fault."""
        self.assertIn(FaultKind.SYNTAX, faults_of(b'{'))
        self.assertIn(FaultKind.SYNTAX, faults_of(b'\xff\xfe'))
        self.assertIn(FaultKind.SHAPE, faults_of(b'[]'))
        self.assertIn(FaultKind.EMPTY, faults_of(b'{"services": {}}'))

    def test_address_cannot_move_between_services_at_once(self) -> None:
        """Guards against a service that receives packets of another service.

        It occurs if one text moves an upstream address between services while some balancers still
        have the previous text.
        """
        previous = parse_text(encode({'services': {'a': service()}}))
        moved = parse_text(
            encode(
                {
                    'services': {
                        'a': service(upstreams={'dc-a': [{'address': '192.0.2.2:1'}]}),
                        'b': service(port=444),
                    },
                }
            )
        )
        with self.assertRaises(TextError) as caught:
            check_change(previous, moved)
        self.assertEqual(FaultKind.UPSTREAM_MOVED, caught.exception.faults[0].kind)


class ExampleTest(TestCase):
    """Tests of the example texts."""

    def test_examples_are_valid_and_have_the_expected_sizes(self) -> None:
        """Each example parses, and its service has the expected number of upstreams."""
        for name, flow, size in (
            ('stichting.json', 'summons-portal', 7),
            ('dozaj.json', 'plan-and-map', 7),
        ):
            document = parse_text((_EXAMPLES / name).read_bytes())
            spec = build_catalogue(document, 1).services_by_name[flow]
            self.assertEqual(size, len(spec.upstreams))
            self.assertEqual(3, len(document.services[flow].upstreams))

    def test_differences_list_each_change(self) -> None:
        """A draining upstream and a removed service give one line each."""
        body = (_EXAMPLES / 'stichting.json').read_bytes()
        previous = parse_text(body)
        raw = decode(body)
        portal = raw['services']['summons-portal']
        portal['upstreams']['den-haag'][0]['state'] = 'draining'
        raw['services'].pop('evidence-intake')
        lines = differences(previous, parse_text(encode(raw)))
        self.assertIn('- service evidence-intake', lines)
        self.assertEqual(2, len(lines))
        self.assertIn('active weight 1 in den-haag -> draining', ''.join(lines))
