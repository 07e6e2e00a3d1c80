import test from 'ava';
import {BalancingMode, ReservationMode} from '@bluebellyard/core';
import {
	ContactBoundMode, GatewaySettingsError, loadSettings, parseSettings,
} from './settings.js';

const validText = `[instance]
name=e1
domain=x
[listen]
callers=10.0.0.1:80
health=10.0.0.1:81
peers=10.0.0.1:82
`;

test('settings that are not set get defaults', t => {
	const cfg = parseSettings(validText);
	t.is(cfg.shutdown.grace, 6000);
	t.is(cfg.keys['hold-max'], 10_000);
	t.is(cfg.listen.metrics, undefined);
});

test('seconds are converted to milliseconds', t => {
	t.is(parseSettings(`${validText}[shutdown]\ngrace=2.5\n`).shutdown.grace, 2500);
});

test('the error names each invalid setting', t => {
	const err = t.throws(() => parseSettings('[instance]\nname=e1\n[listen]\ncallers=localhost:80\nhealth=10.0.0.1:99999\n'), {any: true, instanceOf: GatewaySettingsError});
	for (const name of ['[instance] domain', '[listen] callers', '[listen] health', '[listen] peers']) {
		t.true(err instanceof GatewaySettingsError && err.message.includes(name), `${name} is not named`);
	}
});

test('an address for connections to targets must be valid', t => {
	t.is(parseSettings(`${validText}[targets]\nlocal-address=10.0.0.2\n`).targets['local-address'], '10.0.0.2');
	t.throws(() => parseSettings(`${validText}[targets]\nlocal-address=eth0\n`), {any: true, instanceOf: GatewaySettingsError, message: /\[targets\] local-address/v});
});

test('the balancing mode is one of the listed ones, auto by default', t => {
	t.is(parseSettings(validText).balancing.mode, BalancingMode.Auto);
	t.is(parseSettings(`${validText}[balancing]\n`).balancing.mode, BalancingMode.Auto);
	t.is(parseSettings(`${validText}[balancing]\nmode=two-choices\n`).balancing.mode, BalancingMode.TwoChoices);
	t.is(parseSettings(`${validText}[balancing]\nmode=own-domain\n`).balancing.mode, BalancingMode.OwnDomain);
	t.throws(() => parseSettings(`${validText}[balancing]\nmode=three-choices\n`), {any: true, instanceOf: GatewaySettingsError, message: /\[balancing\] mode/v});
});

// A deployment whose settings do not name the part must be served as before.
test('the reservation mode is one of the listed ones, off by default', t => {
	t.is(parseSettings(validText).admission.reservations, ReservationMode.Off);
	t.is(parseSettings(`${validText}[admission]\n`).admission.reservations, ReservationMode.Off);
	t.is(parseSettings(`${validText}[admission]\nreservations=auto\n`).admission.reservations, ReservationMode.Auto);
	t.is(parseSettings(`${validText}[admission]\nreservations=on\n`).admission.reservations, ReservationMode.On);
	t.throws(() => parseSettings(`${validText}[admission]\nreservations=some\n`), {any: true, instanceOf: GatewaySettingsError, message: /\[admission\] reservations/v});
});

test('the admission check is off unless the settings name a number of cores', t => {
	t.is(parseSettings(validText).overload.cores, 0);
	t.is(parseSettings(`${validText}[overload]\ncores=0.25\n`).overload.cores, 0.25);
	t.throws(() => parseSettings(`${validText}[overload]\ncores=-1\n`), {any: true, instanceOf: GatewaySettingsError, message: /\[overload\] cores/v});
});

test('the bandwidth is unknown unless the settings state it', t => {
	t.is(parseSettings(validText).instance.link, undefined);
	t.is(parseSettings(validText.replace('domain=x', 'domain=x\nlink=18')).instance.link, 18);
	t.throws(() => parseSettings(validText.replace('domain=x', 'domain=x\nlink=fast')), {any: true, instanceOf: GatewaySettingsError, message: /\[instance\] link/v});
});

test('the error names a file that cannot be read', t => {
	t.throws(() => loadSettings('/nowhere/settings.ini'), {any: true, instanceOf: GatewaySettingsError, message: /\/nowhere\/settings\.ini/v});
});

// The argument for the bound rests on an assumption that is not shown yet, so that no deployment may use it unasked.
test('the bound by contacts of the leader is off unless it is turned on', t => {
	t.is(parseSettings(validText).leader['contact-bound'], ContactBoundMode.Off);
	t.is(parseSettings(`${validText}[leader]\n`).leader['contact-bound'], ContactBoundMode.Off);
	t.is(parseSettings(`${validText}[leader]\ncontact-bound=on\n`).leader['contact-bound'], ContactBoundMode.On);
	t.throws(() => parseSettings(`${validText}[leader]\ncontact-bound=yes\n`), {any: true, instanceOf: GatewaySettingsError, message: /\[leader\] contact-bound/v});
});
