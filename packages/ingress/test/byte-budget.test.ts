import { expect } from "chai"
import { ByteBudget } from "@galenaway/ingress"

const KB = 1024
const LIMIT_BYTES = 1024 * KB

function createBudget() {
  const clock = { time: 0, now: () => clock.time }
  const ended: string[] = []
  const budget = new ByteBudget(LIMIT_BYTES, clock)
  const open = (name: string) => {
    const holder = budget.open(() => {
      ended.push(name)
      holder.close()
    })
    return holder
  }
  return { clock, ended, budget, open }
}

it("a holder that would exceed the budget gets no bytes while all others progress", () => {
  const { budget, ended, open } = createBudget()
  expect(open("a").acquire(800 * KB)).to.equal(true)
  expect(open("b").acquire(200 * KB)).to.equal(false)
  expect(ended).to.deep.equal([])
  expect(budget.usedBytes).to.equal(800 * KB)
})

it("a stalled holder is ended when its bytes are needed, the largest and longest first", () => {
  const { budget, clock, ended, open } = createBudget()
  open("small").acquire(100 * KB)
  open("large").acquire(600 * KB)
  clock.time = 2000
  expect(open("new").acquire(300 * KB)).to.equal(true)
  expect(ended).to.deep.equal(["large"])
  expect(budget.usedBytes).to.equal(400 * KB)
})

it("single bytes don't protect a large holder from being ended", () => {
  const { clock, ended, open } = createBudget()
  const holder = open("trickle")
  holder.acquire(800 * KB)
  for (clock.time = 0; clock.time < 2000; clock.time += 100) holder.recordProgress(1)
  expect(open("new").acquire(300 * KB)).to.equal(true)
  expect(ended).to.deep.equal(["trickle"])
})

it("a small holder uses the reserve, and ends a large one that progresses when that is used up", () => {
  const { ended, open } = createBudget()
  open("large").acquire(850 * KB)
  for (let count = 0; count < 3; count++) expect(open("s").acquire(58 * KB)).to.equal(true)
  expect(ended).to.deep.equal([])
  expect(open("s").acquire(58 * KB)).to.equal(true)
  expect(ended).to.deep.equal(["large"])
})

it("a protected holder is never ended", () => {
  const { clock, ended, open } = createBudget()
  const holder = open("complete")
  holder.acquire(800 * KB)
  holder.protect()
  clock.time = 60_000
  expect(open("new").acquire(300 * KB)).to.equal(false)
  expect(ended).to.deep.equal([])
})

it("a closed holder returns its bytes once", () => {
  const { budget, open } = createBudget()
  const holder = open("a")
  holder.acquire(10 * KB)
  holder.close()
  holder.close()
  expect(budget.usedBytes).to.equal(0)
})
