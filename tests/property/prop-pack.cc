#include "prop.h"

#include <map>
#include <vector>

/*
 * Each packed shape gets all of its accelerators, within its adjacency, and no worker gives
 * more than it had free.
 */
static void packing_is_valid()
{
	auto free_counts = *rc::gen::nonEmpty<std::vector<uint8_t>>();
	auto wanted = *rc::gen::container<std::vector<std::pair<int, int>>>(
		rc::gen::pair(rc::gen::inRange(1, 25), rc::gen::inRange(0, 3)));
	std::vector<pack_worker> workers;
	std::vector<pack_shape> shapes;
	GArray *pieces = g_array_new(FALSE, TRUE, sizeof(pack_allocation));
	uint32_t failed = 0;

	for (size_t i = 0; i < free_counts.size(); i++)
		workers.push_back({(uint32_t)(i / 3), (uint32_t)(free_counts[i] % 9)});
	for (auto &want : wanted)
		shapes.push_back({(uint32_t)want.first, (adjacency)want.second});
	auto before = workers;
	size_t placed = pack_all(
		shapes.data(), shapes.size(), workers.data(), workers.size(), pieces, &failed);
	std::map<uint32_t, uint32_t> allocated, at, shape_rack;
	std::vector<uint32_t> taken(workers.size());
	for (guint i = 0; i < pieces->len; i++) {
		pack_allocation p = g_array_index(pieces, pack_allocation, i);

		taken[p.worker] += p.accelerators;
		if (allocated.count(p.shape) != 0) {
			RC_ASSERT(shapes[p.shape].adjacency != ADJACENCY_WORKER);
			if (shapes[p.shape].adjacency == ADJACENCY_RACK)
				RC_ASSERT(shape_rack[p.shape] == workers[p.worker].rack);
		}
		shape_rack[p.shape] = workers[p.worker].rack;
		allocated[p.shape] += p.accelerators;
	}
	g_array_unref(pieces);
	RC_ASSERT(allocated.size() == placed);
	for (auto &s : allocated)
		RC_ASSERT(s.second == shapes[s.first].accelerators);
	for (size_t i = 0; i < workers.size(); i++)
		RC_ASSERT(taken[i] + workers[i].free == before[i].free);
}

void prop_pack()
{
	check_property("pack: shapes are complete, satisfy adjacency and fit free capacity",
		packing_is_valid);
}
