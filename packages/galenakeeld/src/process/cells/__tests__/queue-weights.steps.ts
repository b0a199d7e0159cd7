import assert from 'node:assert/strict';
import {
	After, Given, Then, When,
} from '@cucumber/cucumber';
import {install, type Clock} from '@sinonjs/fake-timers';
import {createQueueWeights, type QueueWeights} from '../queue-weights.js';

type WeightsWorld = {
	weightsClock: Clock | undefined;
	weights: QueueWeights;
};

const tolerance = 0.001;

Given('weights of queues on a paused clock', function (this: WeightsWorld) {
	this.weightsClock = install({toFake: ['performance']});
	this.weights = createQueueWeights();
});

After(function (this: Partial<WeightsWorld>) {
	this.weightsClock?.uninstall();
});

When('{int} jobs of {int} arrive in the queue {string}', function (this: WeightsWorld, count: number, work: number, queue: string) {
	for (let arrived = 0; arrived < count; arrived++) {
		this.weights.noteArrival(queue, work);
	}
});

When('the clock of the weights runs {int} ms', function (this: WeightsWorld, milliseconds: number) {
	this.weightsClock!.tick(milliseconds);
});

Then('the weight of {string} is {float}', function (this: WeightsWorld, queue: string, expected: number) {
	const weight = this.weights.weightOf(queue);
	assert.ok(Math.abs(weight - expected) < tolerance, `${queue} weighs ${weight}`);
});
