/**
The host and path of the only queue, and the zone of the deployment.
*/
export const host = 'sheets.example';
export const pathPrefix = '/rerate/';
export const zone = 'ie-south-a';
export const service = 'paysheet';

/**
The operator's configuration: one queue, with the limits of the small sites.
*/
export const configuration = {
	Version: 3,
	Routes: [{
		Name: 'r-rerate', Host: host, PathPrefix: pathPrefix, Kind: 'unsafe', TimeoutMs: 30_000, TargetLatencyMs: 60, Priority: 1, Service: service, MaxAttempts: 3, SlackFactor: 1.6,
	}],
	Services: [{
		Name: service, HealthPath: '/healthz', MaxConns: 64, Protocol: 'h1', Tls: false, EnforcesCapacity: true, Headroom: false,
	}],
	Limits: {
		MaxHeaderBytes: 16_384, MaxBodyBytes: 262_144, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15_000,
	},
};

/**
Returns the identifier of a job by its number.
*/
export const identifierOf = number => (0x5C_0E_7A_21_00_00_00_00n + BigInt(number)).toString(16).padStart(16, '0');
